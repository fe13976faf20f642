import {splitAddress} from '@carobseam/core.net';
import type {Clock} from '@carobseam/core.types';
import type {
  Exchange,
  ExchangeFailure,
  ExchangeRequest,
  ExchangeResult,
  FailureReason,
} from './exchange_types.js';
import {HttpConnection} from './http_connection.js';
import {ResponseBuffers} from './response_buffers.js';

const LOST_IDLE_SHARE = 0.5; // of the idle time after which a connection was found closed
const MIN_IDLE_MS = 50; // shorter idle times occur between the requests of one burst
const IDLE_GROWTH_FACTOR = 1.5; // per second; from the minimum to 4 s in 11 s
const KEEP_ALIVE_MARGIN_MS = 1000; // the server measures the time with its own clock

/** Result of an exchange for which no connection could be opened. */
const NOT_CONNECTED: ExchangeFailure = {
  kind: 'notSent',
  reason: 'connect_failed',
  receivedBytes: 0,
  receivedInterims: 0,
};
const WITHDRAWN: ExchangeFailure = {...NOT_CONNECTED, reason: 'withdrawn'};

/** Options of `ConnectionPool`. */
export interface ConnectionPoolOptions {
  clock: Clock;
  /** IP address and port. */
  address: string;
  connectTimeoutMs: number;
  /** Maximum time for which an idle connection is kept, in ms. */
  idleTtlMs: number;
  maxIdle: number;
  requestIdHeader: string;
  /**
   * Whether the server echoes the request id in each response. If it does, a
   * response without an id ends the exchange as `unattributed_response` on a
   * reused connection, and while the request is being sent.
   */
  isRequestIdEchoed?: boolean;
  /** Shared by pools that share memory; by default the pool has its own. */
  buffers?: ResponseBuffers;
  /** Called for each new connection. */
  onOpen?: () => void;
}

interface IdleConnection {
  connection: HttpConnection;
  idleSinceMs: number;
  expiresMs: number;
}

/**
 * Pool of connections to one address. The most recently used idle connection is
 * reused first. When the server turns out to close idle connections early, the
 * pool reuses only connections that were idle for a shorter time, and raises
 * this limit again step by step.
 */
export class ConnectionPool {
  readonly #options: ConnectionPoolOptions;
  readonly #address: {host: string; port: number};
  readonly #buffers: ResponseBuffers;
  readonly #open = new Set<HttpConnection>();
  #idle: IdleConnection[] = [];
  /** Maximum idle time after which a connection is still reused. */
  #maxReuseIdleMs: number;

  constructor(options: ConnectionPoolOptions) {
    this.#options = options;
    this.#buffers = options.buffers ?? new ResponseBuffers();
    this.#maxReuseIdleMs = options.idleTtlMs;
    this.#address = splitAddress(options.address);
  }

  /** Sends one request over an idle or a new connection. */
  exchange(request: ExchangeRequest): Exchange {
    if (request.isWithdrawn?.()) {
      return {result: Promise.resolve(WITHDRAWN), cancel: () => {}};
    }
    const idle = request.needsNewConnection ? undefined : this.#takeIdle();
    const idleMs = idle && this.#options.clock.monotonicMs() - idle.idleSinceMs;
    const connection = idle?.connection ?? this.#connect();
    if (!connection) {
      return {result: Promise.resolve(NOT_CONNECTED), cancel: () => {}};
    }
    const result = new Promise<ExchangeResult>(resolve =>
      connection.send(request, outcome => {
        if (idleMs !== undefined && hasReason(outcome, 'connection_lost')) {
          this.#lowerMaxReuseIdle(idleMs);
        } else if (idleMs !== undefined && hasReason(outcome, 'silent')) {
          this.#closeIdle();
        }
        resolve(outcome);
      }),
    );
    return {result, cancel: () => connection.cancel(request)};
  }

  /**
   * Whether the pool has no connections, neither idle nor in use nor
   * connecting.
   */
  get isEmpty(): boolean {
    return this.#open.size === 0;
  }

  /** Closes expired idle connections; must be called once a second. */
  closeExpired(): void {
    const {idleTtlMs} = this.#options;
    this.#maxReuseIdleMs = Math.min(
      idleTtlMs,
      this.#maxReuseIdleMs * IDLE_GROWTH_FACTOR,
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

  #lowerMaxReuseIdle(idleMs: number): void {
    const lostIdleMs = Math.min(this.#maxReuseIdleMs, idleMs);
    this.#maxReuseIdleMs = Math.max(MIN_IDLE_MS, lostIdleMs * LOST_IDLE_SHARE);
  }

  /**
   * Closes the idle connections after one of them turned out to be dead without
   * a reset; the others have probably lost their peer in the same way.
   */
  #closeIdle(): void {
    const idle = this.#idle;
    this.#idle = [];
    idle.forEach(({connection}) => connection.close());
  }

  #takeIdle(): IdleConnection | undefined {
    const nowMs = this.#options.clock.monotonicMs();
    for (;;) {
      const idle = this.#idle.pop();
      if (!idle) {
        return undefined;
      }
      const isReusable = nowMs - idle.idleSinceMs <= this.#maxReuseIdleMs;
      if (idle.connection.isUsable && idle.expiresMs > nowMs && isReusable) {
        return idle;
      }
      idle.connection.close();
    }
  }

  /** Opens a connection; undefined when the address is not valid. */
  #connect(): HttpConnection | undefined {
    let connection: HttpConnection;
    try {
      connection = new HttpConnection({
        ...this.#address,
        connectTimeoutMs: this.#options.connectTimeoutMs,
        requestIdHeader: this.#options.requestIdHeader,
        isRequestIdEchoed: this.#options.isRequestIdEchoed,
        buffers: this.#buffers,
        onIdle: idle => this.#putIdle(idle),
        onClose: closed => this.#remove(closed),
      });
    } catch {
      // Node.js throws for a port out of range. The caller must get a result, or it would wait for one.
      return undefined;
    }
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
    const serverTimeoutMs = connection.keepAliveMs ?? Infinity;
    const ttlMs = Math.min(idleTtlMs, serverTimeoutMs - KEEP_ALIVE_MARGIN_MS);
    const idleSinceMs = clock.monotonicMs();
    this.#idle.push({connection, idleSinceMs, expiresMs: idleSinceMs + ttlMs});
  }

  #remove(connection: HttpConnection): void {
    this.#open.delete(connection);
    this.#idle = this.#idle.filter(idle => idle.connection !== connection);
  }
}

function hasReason(result: ExchangeResult, reason: FailureReason): boolean {
  return result.kind !== 'response' && result.reason === reason;
}
