import type {Clock, Timer} from '@carobseam/core.types';
import {
  LATE_CLASS,
  MIN_REMAINING_MS,
  PRIORITY_CLASS_COUNT,
  priorityClassOf,
  type QueuedRequest,
  type WorkerLoad,
} from './queued_request.js';
import {RateLimiter} from './rate_limiter.js';
import {ServiceTimeEstimate} from './service_time_estimate.js';

const SERVICE_MARGIN = 1.25; // work times vary by a third of their mean, and the response takes time to travel
const GUESSED_SHARE_OF_TARGET = 1 / 3; // callers set targets of a few service times
const GUESSED_SHARE_OF_DEADLINE = 1 / 12; // deadlines are a few targets
const LATE_QUEUE_PER_SLOT = 0.25; // callers that can retry find a shorter queue later
const LAST_ATTEMPT_QUEUE_PER_SLOT = 0.5; // more would expire in the queue

/** Why a request is refused. */
export type QueueRefusalReason = 'wouldBeLate' | 'wouldExpire' | 'leaving';

/** Result of submitting a request. */
export type SubmitResult =
  | {kind: 'start'}
  | {kind: 'queued'}
  | {kind: 'refused'; reason: QueueRefusalReason; retryAfterMs: number};

/** Options of `WorkerQueue`. */
export interface WorkerQueueOptions<T extends QueuedRequest> {
  clock: Clock;
  /** Starts a queued request. */
  start: (request: T) => void;
  /** Called for a queued request that is refused instead of started. */
  refuse: (
    request: T,
    reason: QueueRefusalReason,
    retryAfterMs: number,
  ) => void;
}

/**
 * Priority queue, concurrency limit and rate limit of one worker. Requests that can still
 * meet their target latency are started first, by rank and then by due time;
 * late requests use the remaining slots. A request is refused at once when it
 * is expected to expire before its response, or when the queue would make its
 * response late.
 */
export class WorkerQueue<T extends QueuedRequest> {
  readonly estimate = new ServiceTimeEstimate();
  readonly #options: WorkerQueueOptions<T>;
  readonly #limiter: RateLimiter;
  #queued: T[] = [];
  #running = 0;
  #slots = 0;
  #isDraining = false;
  /** Runs when the rate limit allows the next start. */
  #startTimer?: Timer;

  constructor(options: WorkerQueueOptions<T>) {
    this.#options = options;
    this.#limiter = new RateLimiter(options.clock);
  }

  get load(): WorkerLoad {
    const nowMs = this.#nowMs();
    const queued = new Array<number>(PRIORITY_CLASS_COUNT).fill(0);
    for (const request of this.#queued) {
      queued[this.#classOf(request, nowMs)]!++;
    }
    return {
      running: this.#running,
      queued,
      slots: this.#slots,
      serviceMs: this.estimate.meanByClassMs,
      meanServiceMs: this.estimate.meanMs,
      failureShare: this.estimate.failureShare,
      rateLimit: this.#limiter.limit,
      isLeaving: this.#isDraining,
    };
  }

  /** Sets how many requests may run concurrently. */
  setSlots(slots: number): void {
    this.#slots = slots;
    this.#startQueued();
  }

  /**
   * Sets how many requests may start per second; undefined for any number.
   */
  setRateLimit(perS: number | undefined): void {
    if (!this.#limiter.setLimit(perS)) {
      return;
    }
    if (this.#limiter.isLimited) {
      this.#refuseUnservable();
    }
    this.#startQueued();
  }

  /**
   * Limits the time at which queued requests expire, on the monotonic clock, in
   * ms, and refuses those that are not expected to complete before it.
   */
  limitExpiry(expiresAtMs: number): void {
    for (const request of this.#queued) {
      request.expiresAtMs = Math.min(request.expiresAtMs, expiresAtMs);
    }
    this.#refuseExpiring();
  }

  close(): void {
    this.#startTimer?.cancel();
  }

  /** Refuses all queued and all new requests; running requests complete. */
  drain(): void {
    this.#isDraining = true;
    const refused = this.#queued;
    this.#queued = [];
    refused.forEach(request => this.#options.refuse(request, 'leaving', 0));
  }

  /** Accepts requests again after `drain`, for a new worker at the address. */
  resume(): void {
    this.#isDraining = false;
  }

  /**
   * Submits a request. After the result `start`, the caller must start the
   * request itself. Every started request must be followed by `release`.
   */
  submit(request: T): SubmitResult {
    if (this.#isDraining) {
      return {kind: 'refused', reason: 'leaving', retryAfterMs: 0};
    }
    if (request.expiresAtMs - this.#nowMs() < MIN_REMAINING_MS) {
      return {kind: 'refused', reason: 'wouldExpire', retryAfterMs: 0};
    }
    this.#startQueued();
    const isNext = this.#queued.length === 0;
    if (isNext && this.#running < this.#slots && this.#limiter.take()) {
      this.#running++;
      return {kind: 'start'};
    }
    const reason = this.#refusalReasonFor(request);
    if (reason) {
      return {kind: 'refused', reason, retryAfterMs: this.#waitMs(request)};
    }
    this.#queued.push(request);
    this.#scheduleStart();
    return {kind: 'queued'};
  }

  /** Removes a queued request; false when it is not queued. */
  remove(request: T): boolean {
    const index = this.#queued.indexOf(request);
    if (index < 0) {
      return false;
    }
    this.#queued.splice(index, 1);
    return true;
  }

  /** Frees the slot of a request that was started. */
  release(): void {
    this.#running--;
    this.#startQueued();
  }

  #startQueued(): void {
    while (this.#running < this.#slots && this.#queued.length > 0) {
      this.#refuseExpiring();
      if (this.#queued.length === 0 || !this.#limiter.take()) {
        break;
      }
      this.#running++;
      this.#options.start(this.#takeNext()!);
    }
    this.#scheduleStart();
  }

  /** Starts the next request once the rate limit allows it. */
  #scheduleStart(): void {
    this.#startTimer?.cancel();
    this.#startTimer = undefined;
    const waitsForRate = this.#running < this.#slots && this.#queued.length > 0;
    if (waitsForRate) {
      this.#startTimer = this.#options.clock.setTimer(
        this.#limiter.delayMs(0),
        () => this.#startQueued(),
      );
    }
  }

  #takeNext(): T | undefined {
    const nowMs = this.#nowMs();
    let best: T | undefined;
    for (const request of this.#queued) {
      if (!best || this.#precedes(request, best, nowMs)) {
        best = request;
      }
    }
    if (best) {
      this.remove(best);
    }
    return best;
  }

  #precedes(a: T, b: T, nowMs: number): boolean {
    const [classA, classB] = [this.#classOf(a, nowMs), this.#classOf(b, nowMs)];
    return classA === classB ? a.dueAtMs < b.dueAtMs : classA < classB;
  }

  #refusalReasonFor(request: T): QueueRefusalReason | undefined {
    const nowMs = this.#nowMs();
    const expectedEndMs =
      nowMs + this.#waitMs(request) + this.#expectedServiceMs(request);
    if (expectedEndMs > request.expiresAtMs) {
      return 'wouldExpire';
    }
    if (expectedEndMs <= request.dueAtMs) {
      return undefined;
    }
    if (this.#classOf(request, nowMs) !== LATE_CLASS) {
      return 'wouldBeLate';
    }
    const maxQueuePerSlot = request.isLastCallerAttempt
      ? LAST_ATTEMPT_QUEUE_PER_SLOT
      : LATE_QUEUE_PER_SLOT;
    return this.#queued.length < this.#slots * maxQueuePerSlot
      ? undefined
      : 'wouldBeLate';
  }

  /** Expected queueing time of a request, in ms. */
  #waitMs(request: T): number {
    const nowMs = this.#nowMs();
    const aheadCount = this.#queued.filter(
      other => other !== request && !this.#precedes(request, other, nowMs),
    ).length;
    return Math.max(
      this.#slotWaitMs(request, aheadCount),
      this.#limiter.delayMs(aheadCount),
    );
  }

  #slotWaitMs(request: T, aheadCount: number): number {
    if (this.#running + aheadCount < this.#slots) {
      return 0;
    }
    const meanMs = this.estimate.meanMs || this.#guessServiceMs(request);
    return ((aheadCount + 1) * meanMs) / Math.max(1, this.#slots);
  }

  #classOf(request: T, nowMs: number): number {
    const isLate = nowMs + this.#expectedServiceMs(request) > request.dueAtMs;
    return isLate ? LATE_CLASS : priorityClassOf(request);
  }

  #expectedServiceMs(request: T): number {
    const expectedMs = this.estimate.expectedMs(priorityClassOf(request));
    return (expectedMs || this.#guessServiceMs(request)) * SERVICE_MARGIN;
  }

  /** Service time of a request while the worker has not responded to any, in ms. */
  #guessServiceMs({dueAtMs, expiresAtMs}: T): number {
    const nowMs = this.#nowMs();
    return dueAtMs > nowMs
      ? (dueAtMs - nowMs) * GUESSED_SHARE_OF_TARGET
      : (expiresAtMs - nowMs) * GUESSED_SHARE_OF_DEADLINE;
  }

  /** Refuses queued requests that a new limit leaves without a chance in time. */
  #refuseUnservable(): void {
    const nowMs = this.#nowMs();
    const lastFirst = [...this.#queued].sort((a, b) =>
      this.#precedes(a, b, nowMs) ? 1 : -1,
    );
    for (const request of lastFirst) {
      const reason = this.#refusalReasonFor(request);
      if (reason) {
        this.remove(request);
        this.#options.refuse(request, reason, this.#waitMs(request));
      }
    }
  }

  #refuseExpiring(): void {
    const nowMs = this.#nowMs();
    for (const request of [...this.#queued]) {
      if (nowMs + this.#expectedServiceMs(request) > request.expiresAtMs) {
        this.remove(request);
        this.#options.refuse(request, 'wouldExpire', this.#waitMs(request));
      }
    }
  }

  #nowMs(): number {
    return this.#options.clock.monotonicMs();
  }
}
