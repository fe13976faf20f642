import {splitAddress} from '@carobseam/core.net';
import type {Clock} from '@carobseam/core.types';
import type {
  Exchange,
  ExchangeRequest,
  ExchangeResult,
} from './exchange_types.js';
import {HttpConnection} from './http_connection.js';

const LOST_IDLE_SHARE = 0.5; // of the idle time after which a connection was found dead
const MIN_IDLE_MS = 50; // shorter pauses are between requests of one burst
const IDLE_RECOVERY = 1.5; // growth a second; from the least to 4 s in 11 s
const KEEP_ALIVE_MARGIN_MS = 1000; // the other side's timer runs on its own clock

/** Options of `ConnectionPool`. */
export interface ConnectionPoolOptions {
  clock: Clock;
  /** IP address and port. */
  address: string;
  connectTimeoutMs: number;
  /** Longest time that an idle connection is kept, in ms. */
  idleTtlMs: number;
  maxIdle: number;
  requestIdHeader: string;
  /** Called for each new connection. */
  onOpen?: () => void;
}

interface IdleConnection {
  connection: HttpConnection;
  sinceMs: number;
  expiresMs: number;
}

/**
 * Connections to one address; the most recently used one is taken first. Where
 * the other side drops idle connections early, they are kept for less time.
 */
export class ConnectionPool {
  readonly #options: ConnectionPoolOptions;
  readonly #target: {host: string; port: number};
  readonly #open = new Set<HttpConnection>();
  #idle: IdleConnection[] = [];
  /** Longest idle time after which a connection is still trusted. */
  #trustedIdleMs: number;

  constructor(options: ConnectionPoolOptions) {
    this.#options = options;
    this.#trustedIdleMs = options.idleTtlMs;
    this.#target = splitAddress(options.address);
  }

  /** Sends one request over an idle or a new connection. */
  exchange(request: ExchangeRequest): Exchange {
    const idle = request.needsNewConnection ? undefined : this.#takeIdle();
    const idleMs = idle && this.#options.clock.monotonicMs() - idle.sinceMs;
    const connection = idle?.connection ?? this.#connect();
    const result = new Promise<ExchangeResult>(resolve =>
      connection.send(request, exchanged => {
        if (idleMs !== undefined && isLost(exchanged)) {
          this.#distrustIdle(idleMs);
        }
        resolve(exchanged);
      }),
    );
    return {result, cancel: () => connection.cancel(request)};
  }

  /** Whether no connection is open, not even one under way. */
  get isEmpty(): boolean {
    return this.#open.size === 0;
  }

  /** Closes idle connections whose time is up; called once a second. */
  closeExpired(): void {
    const {idleTtlMs} = this.#options;
    this.#trustedIdleMs = Math.min(
      idleTtlMs,
      this.#trustedIdleMs * IDLE_RECOVERY,
    );
    const nowMs = this.#options.clock.monotonicMs();
    const [kept, expired] = [[], []] as [IdleConnection[], IdleConnection[]];
    for (const idle of this.#idle) {
      (idle.expiresMs > nowMs ? kept : expired).push(idle);
    }
    this.#idle = kept;
    expired.forEach(({connection}) => connection.close());
  }

  close(): void {
    for (const connection of this.#open) {
      connection.close();
    }
  }

  #distrustIdle(idleMs: number): void {
    const lostMs = Math.min(this.#trustedIdleMs, idleMs);
    this.#trustedIdleMs = Math.max(MIN_IDLE_MS, lostMs * LOST_IDLE_SHARE);
  }

  #takeIdle(): IdleConnection | undefined {
    const nowMs = this.#options.clock.monotonicMs();
    for (;;) {
      const idle = this.#idle.pop();
      if (!idle) {
        return undefined;
      }
      const isTrusted = nowMs - idle.sinceMs <= this.#trustedIdleMs;
      if (idle.connection.isUsable && idle.expiresMs > nowMs && isTrusted) {
        return idle;
      }
      idle.connection.close();
    }
  }

  #connect(): HttpConnection {
    const connection = new HttpConnection({
      ...this.#target,
      connectTimeoutMs: this.#options.connectTimeoutMs,
      requestIdHeader: this.#options.requestIdHeader,
      onIdle: idle => this.#putIdle(idle),
      onClose: closed => this.#forget(closed),
    });
    this.#open.add(connection);
    this.#options.onOpen?.();
    return connection;
  }

  #putIdle(connection: HttpConnection): void {
    if (this.#idle.length >= this.#options.maxIdle) {
      connection.close();
      return;
    }
    const {clock, idleTtlMs} = this.#options;
    const statedMs = connection.keepAliveMs ?? Infinity;
    const ttlMs = Math.min(idleTtlMs, statedMs - KEEP_ALIVE_MARGIN_MS);
    const sinceMs = clock.monotonicMs();
    this.#idle.push({connection, sinceMs, expiresMs: sinceMs + ttlMs});
  }

  #forget(connection: HttpConnection): void {
    this.#open.delete(connection);
    this.#idle = this.#idle.filter(idle => idle.connection !== connection);
  }
}

function isLost(result: ExchangeResult): boolean {
  return result.kind !== 'response' && result.reason === 'connection_lost';
}
