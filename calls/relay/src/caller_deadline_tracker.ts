import type {MeshRoute, RouteName} from '@carobseam/config.mesh';
import type {Clock} from '@carobseam/core.types';

const WINDOW_MS = 60_000; // several times the longest patience, so first attempts are among it
const RETURN_SHARE = 1.25; // of the route's timeout; with less, no second try fits
const LAST_CHANCE_SHARE = 0.4; // of the patience; callers come back twice, after a third of what is left

/** How long a caller still waits, and for what. */
export interface CallerDeadline {
  /** Time until a response would be late, in ms; negative when it is. */
  dueInMs: number;
  /** Whether the caller was refused before. */
  hasReturned: boolean;
  /** Whether it has no time to come back once more. */
  isLastChance: boolean;
}

const RETURNED_MS = 5; // callers round what they state

/**
 * Learns how long the callers of each route wait in all. A returning caller
 * states what it has left, so the difference is the time since its first
 * attempt.
 */
export class CallerDeadlineTracker {
  readonly #clock: Clock;
  #recentMs = new Map<RouteName, number>();
  #earlierMs = new Map<RouteName, number>();
  #windowStartMs: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#windowStartMs = clock.monotonicMs();
  }

  /**
   * Callers that wait for no more than one timeout of the route cannot come
   * back after a refusal; for them any response before they leave is in time.
   *
   * @param deadlineMs time that the caller states it still waits.
   */
  of(route: MeshRoute, deadlineMs: number): CallerDeadline {
    const longestMs = this.#learn(route.name, deadlineMs);
    if (longestMs <= route.timeoutMs * RETURN_SHARE) {
      const dueInMs = Math.min(deadlineMs, route.timeoutMs);
      return {dueInMs, hasReturned: false, isLastChance: true};
    }
    const elapsedMs = longestMs - deadlineMs;
    return {
      dueInMs: route.targetLatencyMs - elapsedMs,
      hasReturned: elapsedMs > RETURNED_MS,
      isLastChance: elapsedMs >= longestMs * LAST_CHANCE_SHARE,
    };
  }

  /** Longest patience of the last one or two windows, in ms. */
  #learn(name: RouteName, deadlineMs: number): number {
    const nowMs = this.#clock.monotonicMs();
    if (nowMs - this.#windowStartMs > WINDOW_MS) {
      this.#earlierMs = this.#recentMs;
      this.#recentMs = new Map();
      this.#windowStartMs = nowMs;
    }
    const recentMs = Math.max(deadlineMs, this.#recentMs.get(name) ?? 0);
    this.#recentMs.set(name, recentMs);
    return Math.max(recentMs, this.#earlierMs.get(name) ?? 0);
  }
}
