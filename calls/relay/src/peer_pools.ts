import {ConnectionPool, ResponseBuffers} from '@carobseam/calls.exchange';
import type {Clock} from '@carobseam/core.types';
import {wireHeaders} from '@carobseam/platform.adapter';

const CONNECT_TIMEOUT_MS = 300; // shorter than the retransmission timeout of a lost SYN packet
const IDLE_TTL_MS = 8000; // below the keep-alive timeout of the relays' servers
const MAX_IDLE = 64; // twice the slots of the largest worker in the users' specification

/** Connection pools to the relays on other VMs, one for each VM. */
export class PeerPools {
  readonly #clock: Clock;
  readonly #port: number;
  readonly #byVm = new Map<string, ConnectionPool>();
  readonly #buffers = new ResponseBuffers();

  /** @param port inbound port of all relays. */
  constructor(clock: Clock, port: number) {
    this.#clock = clock;
    this.#port = port;
  }

  /** Returns the pool of a VM; creates it when needed. */
  poolFor(vmAddress: string): ConnectionPool {
    let pool = this.#byVm.get(vmAddress);
    if (!pool) {
      pool = new ConnectionPool({
        clock: this.#clock,
        address: `${vmAddress}:${this.#port}`,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        idleTtlMs: IDLE_TTL_MS,
        maxIdle: MAX_IDLE,
        requestIdHeader: wireHeaders.requestId,
        buffers: this.#buffers,
      });
      this.#byVm.set(vmAddress, pool);
    }
    return pool;
  }

  /** Number of VMs that have a pool. */
  get size(): number {
    return this.#byVm.size;
  }

  /** Closes expired idle connections and removes the pools that are empty. */
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
