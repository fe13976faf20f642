import type {Clock, Timer} from '@carobseam/core.types';
import {
  request,
  type Agent,
  type ClientRequest,
  type IncomingMessage,
  type OutgoingHttpHeaders,
} from 'node:http';
import type {ProbeResult} from './probes.js';
import type {RequestBody} from './request_body.js';

/** Why a request got no response. */
export interface ExchangeFailure {
  /** Whether any part of the request may have reached the other side. */
  readonly written: boolean;
  /** `silent` means that no response came before the first-byte timeout. */
  readonly kind: 'not_connected' | 'reset' | 'silent';
  /** Whether the request was sent on a reused keep-alive connection. */
  readonly reusedConnection: boolean;
}

/** Receives the result of an exchange; exactly one method is called. */
export interface ExchangeListener {
  onExchangeResponse(response: IncomingMessage): void;
  onExchangeFailure(failure: ExchangeFailure): void;
}

export interface ExchangeOptions {
  readonly clock: Clock;
  readonly address: string;
  readonly port: number;
  /** Connection pool; false opens a new connection for this request. */
  readonly agent: Agent | false;
  readonly method: string;
  readonly path: string;
  readonly headers: OutgoingHttpHeaders;
  readonly body: RequestBody;
  readonly firstByteTimeoutMs: number;
  /** Checks the other side over a new connection after that timeout. */
  readonly probe: (onResult: (result: ProbeResult) => void) => void;
  /** Whether a request that was written may be given up after the probe. */
  readonly canGiveUp: (result: ProbeResult) => boolean;
  /** The request is given up after the probe. */
  readonly onUnresponsive: (result: ProbeResult) => void;
}

/**
 * Sends one request to a peer or worker and waits for the response headers.
 * After the first-byte timeout it probes the other side over a new connection,
 * and keeps waiting unless the request may be given up.
 */
export class Exchange {
  readonly #options: ExchangeOptions;
  readonly #listener: ExchangeListener;
  readonly #outgoing: ClientRequest;
  #timer?: Timer;
  #isSettled = false;

  constructor(options: ExchangeOptions, listener: ExchangeListener) {
    this.#options = options;
    this.#listener = listener;
    this.#outgoing = request({
      host: options.address,
      port: options.port,
      agent: options.agent,
      method: options.method,
      path: options.path,
      headers: toHeaderList(options),
    });
    this.#outgoing.on('response', response => this.#onResponse(response));
    this.#outgoing.on('error', error => this.#onError(error));
    this.#outgoing.on('close', () => this.#fail('reset', this.written));
    this.#startFirstByteTimer();
    options.body.sendTo(this.#outgoing);
  }

  /** Whether any part of the request may have reached the other side. */
  get written(): boolean {
    const {socket} = this.#outgoing;
    return socket !== null && socket !== undefined && !socket.connecting;
  }

  /** Aborts the exchange without a result and closes its connection. */
  abort(): void {
    this.#isSettled = true;
    this.#timer?.cancel();
    this.#options.body.stopSending();
    this.#outgoing.destroy();
  }

  #onResponse(response: IncomingMessage): void {
    if (this.#isSettled) {
      response.destroy();
      return;
    }
    this.#isSettled = true;
    this.#timer?.cancel();
    this.#listener.onExchangeResponse(response);
  }

  #onError(error: NodeJS.ErrnoException): void {
    if (error.syscall === 'connect') {
      this.#fail('not_connected', false);
    } else {
      this.#fail('reset', this.written);
    }
  }

  #fail(kind: ExchangeFailure['kind'], written: boolean): void {
    if (this.#isSettled) {
      return;
    }
    const {reusedSocket} = this.#outgoing;
    this.abort();
    this.#listener.onExchangeFailure({
      written,
      kind,
      reusedConnection: reusedSocket,
    });
  }

  #startFirstByteTimer(): void {
    const {clock, firstByteTimeoutMs} = this.#options;
    this.#timer = clock.setTimer(firstByteTimeoutMs, () => this.#probe());
  }

  #probe(): void {
    this.#options.probe(result => {
      if (this.#isSettled) {
        return;
      }
      if (this.written && !this.#options.canGiveUp(result)) {
        this.#startFirstByteTimer();
        return;
      }
      this.#options.onUnresponsive(result);
      this.#fail('silent', this.written);
    });
  }
}

/** Returns a flat list, which node:http writes without copying each header. */
function toHeaderList({headers, address, port}: ExchangeOptions): string[] {
  const list: string[] = [];
  for (const name in headers) {
    const value = headers[name];
    if (value !== undefined) {
      list.push(name, String(value));
    }
  }
  if (headers.host === undefined) {
    list.push('host', `${address}:${port}`);
  }
  return list;
}
