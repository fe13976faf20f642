import type {Clock} from '@carobseam/core.types';
import type {
  Exchange,
  ExchangeRequest,
  ExchangeResult,
} from './exchange_types.js';
import {HttpConnection} from './http_connection.js';

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
  expiresMs: number;
}

/** Connections to one address; the most recently used one is taken first. */
export class ConnectionPool {
  readonly #options: ConnectionPoolOptions;
  readonly #host: string;
  readonly #port: number;
  readonly #open = new Set<HttpConnection>();
  #idle: IdleConnection[] = [];

  constructor(options: ConnectionPoolOptions) {
    this.#options = options;
    const colonAt = options.address.lastIndexOf(':');
    this.#host = options.address.slice(0, colonAt);
    this.#port = Number(options.address.slice(colonAt + 1));
  }

  /** Sends one request over an idle or a new connection. */
  exchange(request: ExchangeRequest): Exchange {
    const connection =
      (request.needsNewConnection ? undefined : this.#takeIdle()) ??
      this.#connect();
    const result = new Promise<ExchangeResult>(resolve =>
      connection.send(request, resolve),
    );
    return {result, cancel: () => connection.cancel(request)};
  }

  /** Whether no connection is open, not even one under way. */
  get isEmpty(): boolean {
    return this.#open.size === 0;
  }

  /** Closes idle connections whose time is up. */
  closeExpired(): void {
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

  #takeIdle(): HttpConnection | undefined {
    const nowMs = this.#options.clock.monotonicMs();
    for (;;) {
      const idle = this.#idle.pop();
      if (!idle) {
        return undefined;
      }
      if (idle.connection.isUsable && idle.expiresMs > nowMs) {
        return idle.connection;
      }
      idle.connection.close();
    }
  }

  #connect(): HttpConnection {
    const connection = new HttpConnection({
      host: this.#host,
      port: this.#port,
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
    this.#idle.push({connection, expiresMs: clock.monotonicMs() + ttlMs});
  }

  #forget(connection: HttpConnection): void {
    this.#open.delete(connection);
    this.#idle = this.#idle.filter(idle => idle.connection !== connection);
  }
}
