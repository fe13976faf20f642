import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

/** Knows the latest request of each connection, because callers may pipeline. */
export class LatestRequests {
  readonly #latest = new WeakMap<Socket, IncomingMessage>();

  record(request: IncomingMessage): void {
    this.#latest.set(request.socket, request);
  }

  /** Whether no request has followed on the same connection. */
  isLatest(request: IncomingMessage): boolean {
    return this.#latest.get(request.socket) === request;
  }
}
