import type {Clock} from '@carobseam/core.types';

const MIN_DRAIN_MS = 2600; // two failed readiness checks at an interval of 1 s
const REFUSE_NEW_REQUESTS_AFTER_MS = 2500; // only requests sent up to 3 s after the signal may be broken off at the exit
const LATEST_REFUSE_AFTER_SIGNAL_MS = 2950; // the same bound for a signal that is handled late
const UNBROKEN_GRACE_SHARE = 5 / 6; // part of the grace time in which no request may be broken off
const UNBROKEN_MARGIN_MS = 50; // responses at a deadline are sent a little earlier
const LAST_RESPONSES_RESERVE_MS = 150; // time for the last responses to pass through two relays

/**
 * The times of a relay's graceful shutdown. They are read from the clock at each
 * decision, because timers may be late.
 */
export class ShutdownSchedule {
  readonly #clock: Clock;
  readonly #graceMs: number;
  #startMs = Infinity;
  #earliestSignalMs = Infinity;
  #exitMs = Infinity;

  /** @param graceMs time from SIGTERM to SIGKILL, in ms. */
  constructor(clock: Clock, graceMs: number) {
    this.#clock = clock;
    this.#graceMs = graceMs;
  }

  /**
   * Starts the shutdown; later calls change nothing.
   *
   * @param earliestSignalMs the earliest time at which the signal can have been
   *     sent, on the monotonic clock, in ms. The platform's bound for taking
   *     requests counts from the sending of the signal.
   */
  start(earliestSignalMs: number): void {
    if (!this.isDraining) {
      this.#startMs = this.#clock.monotonicMs();
      this.#earliestSignalMs = Math.min(earliestSignalMs, this.#startMs);
    }
  }

  /** Ends the drain: no request can complete any more. */
  beginExit(): void {
    this.#exitMs = Math.min(this.#exitMs, this.#clock.monotonicMs());
  }

  get isDraining(): boolean {
    return this.#startMs < Infinity;
  }

  get isRefusingNewRequests(): boolean {
    return this.#hasReached(
      Math.min(
        this.#startMs + REFUSE_NEW_REQUESTS_AFTER_MS,
        this.#earliestSignalMs + LATEST_REFUSE_AFTER_SIGNAL_MS,
        this.#exitMs,
      ),
    );
  }

  /** Whether callers have had time to notice that the relay leaves. */
  get mayExit(): boolean {
    return this.#hasReached(this.#startMs + MIN_DRAIN_MS);
  }

  /** Whether the relay exits even with requests in flight. */
  get mustExit(): boolean {
    return this.#hasReached(this.deadlineMs + LAST_RESPONSES_RESERVE_MS);
  }

  /**
   * Time at which requests in flight end, on the monotonic clock, in ms;
   * infinite before the start.
   */
  get deadlineMs(): number {
    // Counts from the handling, because a signal that was sent just before it
    // must not end requests any sooner.
    const unbrokenMs =
      this.#graceMs * UNBROKEN_GRACE_SHARE + UNBROKEN_MARGIN_MS;
    return Math.min(this.#startMs + unbrokenMs, this.#exitMs);
  }

  #hasReached(timeMs: number): boolean {
    return this.#clock.monotonicMs() >= timeMs;
  }
}
