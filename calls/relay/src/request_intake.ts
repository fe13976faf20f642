import {
  PRIORITY_CLASS_COUNT,
  priorityClassOf,
} from '@carobseam/calls.worker_queue';
import type {Clock} from '@carobseam/core.types';
import {performance} from 'node:perf_hooks';

const MAX_SLICE_MS = 2; // so that waiting connections, one of which is accepted after each slice, are read soon
const MAX_READING_MS = 6; // without work in between, so that requests are also served while many more arrive
const MIN_REMAINING_MS = 30; // no worker responds in less
const MAX_LATE_WAIT_MS = 100; // for requests that will be late even without a wait
const MAX_OVERRUN = 2; // of the wait that was accepted; requests of higher priority may come in between
const WORK_ESTIMATE_SHARE = 0.1; // weight of the newest measurement
const LATE_CLASS = PRIORITY_CLASS_COUNT - 1;
const HOP_CLASS = 0; // another relay has already spent its work on these requests

/** Why a request is turned away before any work on it. */
export type IntakeRefusal = 'relayBusy' | 'expired';

/** A request that has been read and waits for the relay's own work on it. */
export interface IntakeRequest {
  /** Priority; 0 is the highest. */
  rank: number;
  /** Whether another relay sent the request. */
  isHop: boolean;
  /** Latest time at which the work can begin for a response in time, on the monotonic clock, in ms. */
  latestStartMs: number;
  /** When the caller's or the route's timeout ends, on the same clock. */
  expiresAtMs: number;
  /** Whether its sender has closed the connection. */
  hasLeft: () => boolean;
  /** Does the work. */
  run: () => Promise<void>;
  /** Turns the request away; it has not run. `waitMs` is the expected wait. */
  refuse: (reason: IntakeRefusal, waitMs: number) => void;
  /** Called in place of `run` when its sender has left. */
  drop: () => void;
}

/** Options of `RequestIntake`. */
export interface RequestIntakeOptions {
  clock: Clock;
  /** Runs a callback after the event loop has read its sockets. */
  afterReads?: (run: () => void) => void;
  /** Total time for which the event loop was idle, in ms. */
  idleMs?: () => number;
}

interface WaitingRequest extends IntakeRequest {
  /** Called when the work is done or the request was turned away. */
  settle: (done: Promise<void> | void) => void;
  /** When it is refused, if it still waits then, on the monotonic clock, in ms. */
  refusedAtMs: number;
  /** Turn of the event loop in which it was read. */
  turn: number;
}

/**
 * Orders the work of a relay that is short of processor time: connections are
 * accepted and requests and ends of connections are read first, then come
 * refusals, then the work on requests, in short slices. Waiting for the relay's
 * work is bounded: a request that would have to wait too long is refused at
 * once, and one whose sender has left is dropped. In a relay with enough
 * processor time a request is worked on in the turn in which it was read.
 */
export class RequestIntake {
  readonly #options: RequestIntakeOptions;
  readonly #afterReads: (run: () => void) => void;
  readonly #idleMs: () => number;
  /** First the hops, then the requests of callers by class. */
  readonly #waiting: WaitingRequest[][] = Array.from(
    {length: PRIORITY_CLASS_COUNT + 1},
    () => [],
  );
  #waitingCount = 0;
  #turn = 0;
  #isScheduled = false;
  #hasReadInTurn = false;
  #lastIdleMs = -Infinity;
  #lastSliceMs = -Infinity;
  /** Mean time between the starts of two requests while others wait, in ms. */
  #workMs = 0;
  #lastStartMs?: number;

  constructor(options: RequestIntakeOptions) {
    this.#options = options;
    this.#afterReads = options.afterReads ?? (run => setImmediate(run));
    this.#idleMs = options.idleMs ?? (() => performance.nodeTiming.idleTime);
  }

  /** Number of requests that wait for work. */
  get waitingCount(): number {
    return this.#waitingCount;
  }

  /** Records that a connection was accepted, so more may be waiting. */
  connectionAccepted(): void {
    this.#hasReadInTurn = true;
  }

  /**
   * Works on a request as soon as possible, or refuses it at once. Resolves when
   * the work is done or the request was turned away.
   */
  submit(request: IntakeRequest): Promise<void> {
    this.#hasReadInTurn = true;
    const nowMs = this.#options.clock.monotonicMs();
    const index = this.#classOf(request, nowMs);
    const waitMs = this.#waitMs(index);
    const maxWaitMs = maxWaitOf(request, nowMs);
    if (waitMs > maxWaitMs) {
      request.refuse('relayBusy', waitMs);
      return Promise.resolve();
    }
    this.#waitingCount++;
    this.#schedule();
    return new Promise(settle => {
      this.#waiting[index]!.push({
        ...request,
        settle,
        turn: this.#turn,
        refusedAtMs: nowMs + maxWaitMs * MAX_OVERRUN,
      });
    });
  }

  /** Refuses all requests that wait, because the relay is about to exit. */
  refuseAll(): void {
    for (const requests of this.#waiting) {
      for (const request of requests.splice(0)) {
        this.#waitingCount--;
        this.#refuse(request, 'relayBusy', 0);
      }
    }
  }

  #classOf(request: IntakeRequest, nowMs: number): number {
    if (request.isHop) {
      return HOP_CLASS;
    }
    const isLate = nowMs > request.latestStartMs;
    return 1 + (isLate ? LATE_CLASS : priorityClassOf(request));
  }

  /** Expected wait of a new request of a class, in ms. */
  #waitMs(index: number): number {
    const ahead = this.#waiting
      .slice(0, index + 1)
      .reduce((sum, requests) => sum + requests.length, 0);
    return ahead * this.#workMs;
  }

  #schedule(): void {
    if (!this.#isScheduled) {
      this.#isScheduled = true;
      this.#afterReads(() => this.#endTurn());
    }
  }

  #endTurn(): void {
    this.#isScheduled = false;
    const nowMs = this.#options.clock.monotonicMs();
    const idleMs = this.#idleMs();
    // After an idle moment everything that was read had just arrived.
    const wasIdle = idleMs > this.#lastIdleMs;
    const readsOn =
      this.#hasReadInTurn &&
      !wasIdle &&
      nowMs - this.#lastSliceMs < MAX_READING_MS;
    this.#lastIdleMs = idleMs;
    this.#hasReadInTurn = false;
    if (!readsOn) {
      this.#refuseOverdue(nowMs);
      this.#work(nowMs, wasIdle ? this.#turn : this.#turn - 1);
    }
    this.#turn++;
    if (this.#waitingCount > 0) {
      this.#schedule();
    } else {
      this.#lastStartMs = undefined;
    }
  }

  /** Refuses requests that waited longer than was estimated for them. */
  #refuseOverdue(nowMs: number): void {
    for (const [index, requests] of this.#waiting.entries()) {
      while (requests.length > 0 && requests[0]!.refusedAtMs < nowMs) {
        this.#waitingCount--;
        this.#refuse(requests.shift()!, 'relayBusy', this.#waitMs(index));
      }
    }
  }

  /**
   * Works for one slice.
   *
   * @param lastTurn requests that were read later wait for one more poll, which
   *     reads the ends of their connections.
   */
  #work(startMs: number, lastTurn: number): void {
    const {clock} = this.#options;
    let nowMs = startMs;
    do {
      const request = this.#takeNext(lastTurn);
      if (!request) {
        break;
      }
      if (request.hasLeft()) {
        request.drop();
        request.settle();
      } else if (request.expiresAtMs - nowMs < MIN_REMAINING_MS) {
        this.#refuse(request, 'expired', 0);
      } else {
        this.#recordStart(nowMs);
        request.settle(request.run());
      }
      nowMs = clock.monotonicMs();
    } while (nowMs - startMs < MAX_SLICE_MS);
    this.#lastSliceMs = nowMs;
  }

  #refuse(
    request: WaitingRequest,
    reason: IntakeRefusal,
    waitMs: number,
  ): void {
    request.refuse(reason, waitMs);
    request.settle();
  }

  #takeNext(lastTurn: number): WaitingRequest | undefined {
    for (const requests of this.#waiting) {
      if (requests.length > 0 && requests[0]!.turn <= lastTurn) {
        this.#waitingCount--;
        return requests.shift();
      }
    }
    return undefined;
  }

  /** Updates the estimate of work, which includes the reading in between. */
  #recordStart(nowMs: number): void {
    if (this.#lastStartMs !== undefined) {
      const sampleMs = nowMs - this.#lastStartMs;
      this.#workMs += (sampleMs - this.#workMs) * WORK_ESTIMATE_SHARE;
    }
    this.#lastStartMs = nowMs;
  }
}

/** Longest time for which a request can usefully wait for work, in ms. */
function maxWaitOf(request: IntakeRequest, nowMs: number): number {
  return request.isHop
    ? request.expiresAtMs - nowMs
    : Math.max(MAX_LATE_WAIT_MS, request.latestStartMs - nowMs);
}
