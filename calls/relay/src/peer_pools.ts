import {ConnectionPool} from '@carobseam/calls.exchange';
import type {Clock} from '@carobseam/core.types';
import {wireHeaders} from '@carobseam/platform.adapter';

const CONNECT_TIMEOUT_MS = 300; // one lost opening packet is not waited for
const IDLE_TTL_MS = 8000; // below the time for which a relay keeps idle connections
const MAX_IDLE = 64; // twice the slots of the largest worker of the users' sheets

/** Connections to the relays on other VMs. */
export class PeerPools {
  readonly #clock: Clock;
  readonly #port: number;
  readonly #byVm = new Map<string, ConnectionPool>();

  /** @param port inbound port of every relay. */
  constructor(clock: Clock, port: number) {
    this.#clock = clock;
    this.#port = port;
  }

  to(vmAddress: string): ConnectionPool {
    let pool = this.#byVm.get(vmAddress);
    if (!pool) {
      pool = new ConnectionPool({
        clock: this.#clock,
        address: `${vmAddress}:${this.#port}`,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        idleTtlMs: IDLE_TTL_MS,
        maxIdle: MAX_IDLE,
        requestIdHeader: wireHeaders.requestId,
      });
      this.#byVm.set(vmAddress, pool);
    }
    return pool;
  }

  /** VMs to which connections are kept. */
  get size(): number {
    return this.#byVm.size;
  }

  closeExpired(): void {
    for (const [vmAddress, pool] of this.#byVm) {
      pool.closeExpired();
      if (pool.isEmpty) {
        this.#byVm.delete(vmAddress);
      }
    }
  }

  close(): void {
    for (const pool of this.#byVm.values()) {
      pool.close();
    }
    this.#byVm.clear();
  }
}
