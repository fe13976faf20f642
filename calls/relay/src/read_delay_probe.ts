import type {Clock} from '@carobseam/core.types';
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import net, {type Socket} from 'node:net';
import {currentEventLoopTurn, type EventLoopTurn} from './event_loop_turn.js';

const PROBE_HEADER = 'x-cs-probe';
const PROBE_INTERVAL_MS = 500; // a probe costs as much as a request that is refused
const MAX_READ_TURNS = 2; // from the acceptance of a connection until its first request is read
const MAX_PROBE_MS = 5000; // longer than callers wait

/** Options of `ReadDelayProbe`. */
export interface ReadDelayProbeOptions {
  clock: Clock;
  /** Address on which this process listens. */
  host: string;
  port: number;
  /** Called with each measured delay, in ms. */
  onDelay?: (delayMs: number) => void;
  eventLoopTurn?: () => EventLoopTurn;
}

interface AcceptedConnection {
  /** Estimated time at which it was opened, on the monotonic clock, in ms. */
  openedMs: number;
  /** Turn of the event loop in which it was accepted. */
  turn: number;
}

/**
 * Measures how long a new connection to this process waits until its first
 * request is read. The event loop accepts one connection in each turn, so
 * connections may wait long although no turn is. Connections are accepted in the
 * order in which they were opened, so a connection of the process to itself
 * shows when those before and after it were opened.
 */
export class ReadDelayProbe {
  readonly #options: ReadDelayProbeOptions;
  readonly #id = randomUUID();
  readonly #eventLoopTurn: () => EventLoopTurn;
  readonly #unread = new WeakMap<Socket, AcceptedConnection>();
  #lastTurn = -Infinity;
  #socket?: Socket;
  /** When the last probe started, on the monotonic clock, in ms. */
  #startMs = -Infinity;
  #isWaiting = false;
  /** All connections that were opened before were accepted, on the same clock. */
  #acceptedUntilMs = -Infinity;

  constructor(options: ReadDelayProbeOptions) {
    this.#options = options;
    this.#eventLoopTurn = options.eventLoopTurn ?? currentEventLoopTurn;
  }

  /**
   * Records an accepted connection, and starts a probe if the turn before has
   * accepted one too, so that others may be waiting.
   */
  connectionAccepted(socket: Socket): void {
    const {turn = NaN} = this.#eventLoopTurn();
    const isNext = turn === this.#lastTurn + 1;
    this.#lastTurn = turn;
    const nowMs = this.#options.clock.monotonicMs();
    if (!isNext) {
      this.#acceptedUntilMs = nowMs;
    }
    // A connection that is accepted now was opened before a probe that waits.
    const openedUntilMs = this.#isWaiting ? this.#startMs : nowMs;
    const openedMs = (this.#acceptedUntilMs + openedUntilMs) / 2;
    this.#unread.set(socket, {openedMs: Math.min(nowMs, openedMs), turn});
    if (!isNext) {
      return;
    }
    if (!this.#socket && nowMs - this.#startMs >= PROBE_INTERVAL_MS) {
      this.#start(nowMs);
    }
  }

  /**
   * Estimates how long a request that is read now has waited, in ms. Only the
   * first request on a connection waits until the connection is accepted.
   */
  delayOf({socket}: IncomingMessage): number {
    const connection = this.#unread.get(socket);
    if (!connection) {
      return 0;
    }
    this.#unread.delete(socket);
    const {turn = NaN} = this.#eventLoopTurn();
    // A request that is read later was not there yet when the connection was accepted.
    const hasWaited = turn <= connection.turn + MAX_READ_TURNS;
    return hasWaited
      ? this.#options.clock.monotonicMs() - connection.openedMs
      : 0;
  }

  /** Responds to a request of the probe itself; false for any other request. */
  respond(request: IncomingMessage, response: ServerResponse): boolean {
    if (request.headers[PROBE_HEADER] !== this.#id) {
      return false;
    }
    this.#isWaiting = false;
    this.#acceptedUntilMs = Math.max(this.#acceptedUntilMs, this.#startMs);
    this.#options.onDelay?.(this.#options.clock.monotonicMs() - this.#startMs);
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
