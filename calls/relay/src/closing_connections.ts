import {LatestRequests} from '@carobseam/core.net';
import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

/**
 * Closes the connections of callers behind the response to their latest request,
 * so that a pipelined request in progress still gets its response.
 */
export class ClosingConnections {
  readonly #latestRequests = new LatestRequests();
  /** Connections that end after a response whose headers are sent. */
  readonly #closingSockets = new WeakSet<Socket>();

  /**
   * Records a request that was read.
   *
   * @return false if it crossed the close of its connection, so that it cannot be
   *     answered and must be ignored.
   */
  record(request: IncomingMessage): boolean {
    if (this.#closingSockets.has(request.socket)) {
      return false;
    }
    this.#latestRequests.record(request);
    return true;
  }

  /**
   * Returns the headers, alternating names and values, with which the response
   * to a request closes its connection; none while a later request follows.
   */
  closeAfter(request: IncomingMessage): string[] {
    if (!this.#latestRequests.isLatest(request)) {
      return [];
    }
    this.#closingSockets.add(request.socket);
    return ['Connection', 'close'];
  }
}
