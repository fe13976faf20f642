import type {MeshRoute, RouteName} from '@carobseam/config.mesh';
import type {Clock} from '@carobseam/core.types';

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
  /** Whether callers of the route retry at all. */
  canCallerRetry: boolean;
}

const MIN_RETRY_ELAPSED_MS = 5; // callers round the deadlines that they send

/**
 * Estimates the total deadline of the callers of each route, that is how long
 * they wait over all their attempts. A caller sends its remaining time with
 * each attempt, so the difference is the time since its first attempt.
 */
export class CallerDeadlineTracker {
  readonly #clock: Clock;
  #currentWindowMs = new Map<RouteName, number>();
  #previousWindowMs = new Map<RouteName, number>();
  #windowStartMs: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#windowStartMs = clock.monotonicMs();
  }

  /**
   * Estimates how far the caller of a request is through its attempts. Callers
   * whose total deadline leaves no time for a retry after a refusal are served
   * in time by any response within their deadline.
   *
   * @param deadlineMs remaining time that the caller sent with the request.
   */
  estimate(route: MeshRoute, deadlineMs: number): CallerDeadline {
    const totalDeadlineMs = this.#updateTotalDeadline(route.name, deadlineMs);
    if (totalDeadlineMs <= route.timeoutMs * MIN_RETRY_DEADLINE_RATIO) {
      const dueInMs = Math.min(deadlineMs, route.timeoutMs);
      return {
        dueInMs,
        isCallerRetry: false,
        isLastCallerAttempt: true,
        canCallerRetry: false,
      };
    }
    const elapsedMs = totalDeadlineMs - deadlineMs;
    return {
      dueInMs: route.targetLatencyMs - elapsedMs,
      isCallerRetry: elapsedMs > MIN_RETRY_ELAPSED_MS,
      isLastCallerAttempt: elapsedMs >= totalDeadlineMs * LAST_ATTEMPT_SHARE,
      canCallerRetry: true,
    };
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
    }
    const longestMs = Math.max(
      deadlineMs,
      this.#currentWindowMs.get(name) ?? 0,
    );
    this.#currentWindowMs.set(name, longestMs);
    return Math.max(longestMs, this.#previousWindowMs.get(name) ?? 0);
  }
}
