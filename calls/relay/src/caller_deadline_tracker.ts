import type {MeshRoute, RouteName} from '@carobseam/config.mesh';
import type {Clock} from '@carobseam/core.types';
import {FirstAttemptDeadlines} from './first_attempt_deadlines.js';

const WINDOW_MS = 60_000; // several times the longest total deadline, so that each window sees first attempts
const MIN_RETRY_DEADLINE_RATIO = 1.25; // deadline to route timeout; with less, a retry does not fit
const LAST_ATTEMPT_SHARE = 0.4; // of the total deadline; callers retry twice, each after a third of the remaining time

/**
 * Estimated due time of a request, and whether it is a retry or the last attempt
 * of its caller.
 */
export interface CallerDeadline {
  /**
   * Time until the response misses the target latency, in ms; negative once
   * missed.
   */
  dueInMs: number;
  /** Whether the caller retries after a refusal. */
  isCallerRetry: boolean;
  /** Whether the caller has no time for another retry. */
  isLastCallerAttempt: boolean;
  /** Whether callers of the route have time for a retry after a timeout. */
  canCallerRetry: boolean;
}

const MIN_RETRY_ELAPSED_MS = 5; // callers round the deadlines that they send

/**
 * Estimates the total deadline of the callers of each route, that is how long
 * they wait over all their attempts. A caller sends its remaining time with
 * each attempt, so the difference is the time since its first attempt. Callers
 * of one route may wait for different times.
 */
export class CallerDeadlineTracker {
  readonly #clock: Clock;
  readonly #deadlinesByRoute = new Map<RouteName, FirstAttemptDeadlines>();
  #currentWindowMs = new Map<RouteName, number>();
  #previousWindowMs = new Map<RouteName, number>();
  #windowStartMs: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#windowStartMs = clock.monotonicMs();
  }

  /**
   * Estimates how far the caller of a request is through its attempts. A worker
   * that calls another service in the course of a request does not retry, and
   * any response within its deadline is in time.
   *
   * @param deadlineMs remaining time that the caller sent with the request.
   */
  estimate(
    route: MeshRoute,
    deadlineMs: number,
    isWorkerCall = false,
  ): CallerDeadline {
    if (isWorkerCall) {
      return {
        dueInMs: Math.min(deadlineMs, route.timeoutMs),
        isCallerRetry: false,
        isLastCallerAttempt: true,
        canCallerRetry: false,
      };
    }
    const deadlines = this.#deadlinesOf(route.name);
    deadlines.add(deadlineMs);
    const totalDeadlineMs = this.#updateTotalDeadline(
      route.name,
      deadlines.longestMs,
    );
    const elapsedMs = deadlines.elapsedMs(deadlineMs, totalDeadlineMs);
    return {
      dueInMs: route.targetLatencyMs - elapsedMs,
      isCallerRetry: elapsedMs > MIN_RETRY_ELAPSED_MS,
      isLastCallerAttempt: elapsedMs >= totalDeadlineMs * LAST_ATTEMPT_SHARE,
      canCallerRetry:
        totalDeadlineMs > route.timeoutMs * MIN_RETRY_DEADLINE_RATIO,
    };
  }

  #deadlinesOf(name: RouteName): FirstAttemptDeadlines {
    let deadlines = this.#deadlinesByRoute.get(name);
    if (!deadlines) {
      deadlines = new FirstAttemptDeadlines();
      this.#deadlinesByRoute.set(name, deadlines);
    }
    return deadlines;
  }

  #forgetUnusedRoutes(): void {
    for (const name of this.#deadlinesByRoute.keys()) {
      if (!this.#previousWindowMs.has(name)) {
        this.#deadlinesByRoute.delete(name);
      }
    }
  }

  /**
   * Returns the longest deadline of the current and the previous window, in ms.
   */
  #updateTotalDeadline(name: RouteName, deadlineMs: number): number {
    const nowMs = this.#clock.monotonicMs();
    if (nowMs - this.#windowStartMs > WINDOW_MS) {
      this.#previousWindowMs = this.#currentWindowMs;
      this.#currentWindowMs = new Map();
      this.#windowStartMs = nowMs;
      this.#forgetUnusedRoutes();
    }
    const longestMs = Math.max(
      deadlineMs,
      this.#currentWindowMs.get(name) ?? 0,
    );
    this.#currentWindowMs.set(name, longestMs);
    return Math.max(longestMs, this.#previousWindowMs.get(name) ?? 0);
  }
}
