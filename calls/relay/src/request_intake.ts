import {MIN_REMAINING_MS} from '@carobseam/calls.worker_queue';
import type {Clock} from '@carobseam/core.types';
import {currentEventLoopTurn, type EventLoopTurn} from './event_loop_turn.js';

/** Class of requests on which another relay or a worker has already spent work. */
export const FIRST_INTAKE_CLASS = 0;

/** A request that has been read and waits for the relay's own work on it. */
export interface IntakeRequest {
  /** Place in the order of work; a lower one comes first. */
  priorityClass: number;
  /** When the caller's or the route's timeout ends, on the monotonic clock, in ms. */
  expiresAtMs: number;
  /** Whether its sender has closed the connection. */
  hasLeft: () => boolean;
  /** Does the work. */
  run: () => Promise<void>;
  /** Turns the request away, which has expired and has not run. */
  refuse: () => void;
  /** Called in place of `run` when its sender has left. */
  drop: () => void;
}

/** Options of `RequestIntake`. */
export interface RequestIntakeOptions {
  clock: Clock;
  /** Runs a callback after the event loop has read its sockets. */
  afterReads?: (run: () => void) => void;
  eventLoopTurn?: () => EventLoopTurn;
}

interface WaitingRequest extends IntakeRequest {
  /** Turn of the event loop in which it was read. */
  turn: number;
  resolve: () => void;
  reject: (error: unknown) => void;
}

/**
 * Orders the work of a relay that is short of processor time. The end of a
 * connection is read one turn of the event loop after a request that lies before
 * it. A request that was not read when it arrived therefore waits for one more
 * poll; then requests whose senders have left are dropped, requests that have
 * expired are refused, and work on the others is done by class. A request that
 * was read when it arrived is worked on at once.
 */
export class RequestIntake {
  readonly #options: RequestIntakeOptions;
  readonly #afterReads: (run: () => void) => void;
  readonly #eventLoopTurn: () => EventLoopTurn;
  #waiting: WaitingRequest[] = [];
  #turn = 0;
  #isScheduled = false;
  #lastWaitingEvents?: number;

  constructor(options: RequestIntakeOptions) {
    this.#options = options;
    this.#afterReads = options.afterReads ?? (run => setImmediate(run));
    this.#eventLoopTurn = options.eventLoopTurn ?? currentEventLoopTurn;
  }

  /**
   * Works on a request, or turns it away. Resolves when that is done; rejects
   * with the error of the work.
   */
  submit(request: IntakeRequest): Promise<void> {
    if (this.#waiting.length === 0 && !this.#hasReadLate()) {
      return settle(request, this.#options.clock.monotonicMs());
    }
    return new Promise((resolve, reject) => {
      this.#waiting.push({...request, turn: this.#turn, resolve, reject});
      this.#schedule();
    });
  }

  /** Whether something may have waited to be read since the last request. */
  #hasReadLate(): boolean {
    const {waitingEvents} = this.#eventLoopTurn();
    const hasWaited =
      waitingEvents === undefined || waitingEvents !== this.#lastWaitingEvents;
    this.#lastWaitingEvents = waitingEvents;
    return hasWaited;
  }

  #schedule(): void {
    if (!this.#isScheduled) {
      this.#isScheduled = true;
      this.#afterReads(() => this.#endTurn());
    }
  }

  #endTurn(): void {
    this.#isScheduled = false;
    const due = this.#waiting.filter(({turn}) => turn < this.#turn);
    this.#waiting = this.#waiting.filter(({turn}) => turn >= this.#turn);
    this.#turn++;
    if (this.#waiting.length > 0) {
      this.#schedule();
    }
    due.sort((a, b) => a.priorityClass - b.priorityClass);
    const nowMs = this.#options.clock.monotonicMs();
    const [lost, alive] = [true, false].map(isLost =>
      due.filter(request => isLost === isLostAt(request, nowMs)),
    );
    for (const request of [...lost!, ...alive!]) {
      settle(request, this.#options.clock.monotonicMs()).then(
        request.resolve,
        request.reject,
      );
    }
  }
}

function isLostAt(request: IntakeRequest, nowMs: number): boolean {
  return request.hasLeft() || request.expiresAtMs - nowMs < MIN_REMAINING_MS;
}

async function settle(request: IntakeRequest, nowMs: number): Promise<void> {
  if (request.hasLeft()) {
    request.drop();
  } else if (request.expiresAtMs - nowMs < MIN_REMAINING_MS) {
    request.refuse();
  } else {
    await request.run();
  }
}
