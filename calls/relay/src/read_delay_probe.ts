import type {Clock} from '@carobseam/core.types';
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import net, {type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';

const PROBE_HEADER = 'x-cs-probe';
const PROBE_INTERVAL_MS = 50; // an estimate is never older than the delay itself and this time
const MAX_PROBE_MS = 5000; // longer than any caller waits

/** Options of `ReadDelayProbe`. */
export interface ReadDelayProbeOptions {
  clock: Clock;
  /** Address on which this process listens. */
  host: string;
  port: number;
  /** Called with each measured delay, in ms. */
  onDelay?: (delayMs: number) => void;
  /** Total time for which the event loop was idle, in ms. */
  idleMs?: () => number;
}

/**
 * Measures how long a new connection to this process waits until its first
 * request is read. The event loop accepts one connection in each turn, so
 * connections may wait long although no turn is. Connections are accepted in the
 * order in which they were opened, so a connection of the process to itself
 * waits as long as those of callers.
 */
export class ReadDelayProbe {
  readonly #options: ReadDelayProbeOptions;
  readonly #id = randomUUID();
  readonly #idleMs: () => number;
  readonly #unread = new WeakSet<Socket>();
  #socket?: Socket;
  #isWaiting = false;
  #startMs = -Infinity;
  #lastIdleMs = -Infinity;
  #delayMs = 0;

  constructor(options: ReadDelayProbeOptions) {
    this.#options = options;
    this.#idleMs = options.idleMs ?? (() => performance.nodeTiming.idleTime);
  }

  /**
   * Records an accepted connection, and starts a probe if the event loop has had
   * no idle time since the one before.
   */
  connectionAccepted(socket: Socket): void {
    this.#unread.add(socket);
    const idleMs = this.#idleMs();
    const wasIdle = idleMs > this.#lastIdleMs;
    this.#lastIdleMs = idleMs;
    if (wasIdle) {
      // Nothing was waiting to be read then.
      this.#delayMs = 0;
      return;
    }
    const nowMs = this.#options.clock.monotonicMs();
    if (!this.#socket && nowMs - this.#startMs >= PROBE_INTERVAL_MS) {
      this.#start(nowMs);
    }
  }

  /**
   * Estimates how long a request that is read now has waited, in ms. Only the
   * first request on a connection waits until the connection is accepted.
   */
  delayOf({socket}: IncomingMessage): number {
    return this.#unread.delete(socket) ? this.delayMs : 0;
  }

  /** Current estimate for new connections, in ms. */
  get delayMs(): number {
    // Connections that are accepted before that of the probe are older than it.
    const probeAgeMs = this.#isWaiting
      ? this.#options.clock.monotonicMs() - this.#startMs
      : 0;
    return Math.max(this.#delayMs, probeAgeMs);
  }

  /** Responds to a request of the probe itself; false for any other request. */
  respond(request: IncomingMessage, response: ServerResponse): boolean {
    if (request.headers[PROBE_HEADER] !== this.#id) {
      return false;
    }
    this.#delayMs = this.#options.clock.monotonicMs() - this.#startMs;
    this.#isWaiting = false;
    this.#options.onDelay?.(this.#delayMs);
    response.sendDate = false;
    response.writeHead(204, ['Connection', 'close']);
    response.end();
    return true;
  }

  close(): void {
    this.#socket?.destroy();
  }

  #start(nowMs: number): void {
    const {host, port} = this.#options;
    this.#startMs = nowMs;
    this.#isWaiting = true;
    const socket = net.connect({host, port});
    this.#socket = socket;
    socket.setTimeout(MAX_PROBE_MS, () => socket.destroy());
    // A connection that is reset says nothing about the delay.
    socket.on('error', () => {});
    socket.on('close', () => {
      this.#socket = undefined;
      this.#isWaiting = false;
    });
    socket.resume();
    socket.write(
      `GET / HTTP/1.1\r\nHost: ${host}\r\n${PROBE_HEADER}: ${this.#id}\r\n\r\n`,
    );
  }
}
