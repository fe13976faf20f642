import type {Clock} from '@carobseam/core.types';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import net from 'node:net';
import {setImmediate} from 'node:timers/promises';
import {onceClosed} from './sender_presence.js';

const ACCEPT_TURNS = 3; // without a new connection, after which none is waiting
const MAX_RETIRE_MS = 200; // a round trip to another data centre takes a few ms

/** Options of `HopConnections`. */
export interface HopConnectionsOptions {
  clock: Clock;
  /** The complete refusal that ends a connection, as bytes of HTTP. */
  refusal: () => string;
}

/**
 * The connections on which other relays send requests. When the relay exits,
 * each of them ends with a refusal, and nothing is read as a request after it. A
 * sender whose request crosses the end therefore learns that it was not run, and
 * one without a request in progress discards the connection.
 */
export class HopConnections {
  readonly #options: HopConnectionsOptions;
  /** Requests in progress on each open connection. */
  readonly #requestCounts = new Map<net.Socket, number>();
  #acceptedCount = 0;
  #isRetiring = false;

  constructor(options: HopConnectionsOptions) {
    this.#options = options;
  }

  /** Follows the connections of a server; must be called once, at its start. */
  watch(server: Server): void {
    server.on('connection', (socket: net.Socket) => {
      this.#acceptedCount++;
      this.#requestCounts.set(socket, 0);
      socket.once('close', () => this.#requestCounts.delete(socket));
      this.#endIfRetired(socket);
    });
  }

  /**
   * Begins a request that was read.
   *
   * @return false if its connection has ended with a refusal, so that the request
   *     must be ignored.
   */
  tryBegin(request: IncomingMessage, response: ServerResponse): boolean {
    const {socket} = request;
    if (socket.writableEnded) {
      return false;
    }
    this.#addRequests(socket, 1);
    onceClosed(request, response, () => {
      this.#addRequests(socket, -1);
      this.#endIfRetired(socket);
    });
    return true;
  }

  /**
   * Accepts what is waiting, stops listening and ends the connections without a
   * request in progress. Resolves when the senders have closed them, or after a
   * short time.
   */
  async retire(server: Server): Promise<void> {
    const endMs = this.#nowMs() + MAX_RETIRE_MS;
    this.#isRetiring = true;
    this.#requestCounts.forEach((_count, socket) => this.#endIfRetired(socket));
    await this.#untilAllAccepted(endMs);
    // The HTTP server would also destroy idle connections.
    net.Server.prototype.close.call(server);
    await Promise.race([
      this.#untilIdleClosed(),
      new Promise<void>(resolve => {
        this.#options.clock.setTimer(endMs - this.#nowMs(), resolve);
      }),
    ]);
  }

  /** Waits for connections that the kernel has accepted, one in each turn. */
  async #untilAllAccepted(endMs: number): Promise<void> {
    let quietTurns = 0;
    while (quietTurns < ACCEPT_TURNS && this.#nowMs() < endMs) {
      const acceptedCount = this.#acceptedCount;
      await setImmediate();
      quietTurns = acceptedCount === this.#acceptedCount ? quietTurns + 1 : 0;
    }
  }

  async #untilIdleClosed(): Promise<void> {
    const idle = [...this.#requestCounts].filter(([, count]) => count === 0);
    await Promise.all(
      idle.map(
        ([socket]) => new Promise(resolve => socket.once('close', resolve)),
      ),
    );
  }

  #addRequests(socket: net.Socket, change: number): void {
    const count = this.#requestCounts.get(socket);
    if (count !== undefined) {
      this.#requestCounts.set(socket, count + change);
    }
  }

  #endIfRetired(socket: net.Socket): void {
    const isIdle = this.#requestCounts.get(socket) === 0;
    if (this.#isRetiring && isIdle && socket.writable) {
      socket.end(this.#options.refusal(), 'latin1');
    }
  }

  #nowMs(): number {
    return this.#options.clock.monotonicMs();
  }
}
