import type {Clock} from '@carobseam/core.types';

const MIN_DRAIN_MS = 2600; // two failed readiness checks at an interval of 1 s
const REFUSE_NEW_REQUESTS_AFTER_MS = 2500; // requests sent after 3 s must not be broken off, and the signal may be handled late
const UNBROKEN_GRACE_SHARE = 5 / 6; // part of the grace time in which no request may be broken off
const UNBROKEN_MARGIN_MS = 50; // responses at a deadline are sent a little earlier
const LAST_RESPONSES_RESERVE_MS = 150; // time for the last responses to pass through two relays

/**
 * The times of a relay's graceful shutdown. They are read from the clock at each
 * decision, because timers may be late.
 */
export class ShutdownSchedule {
  readonly #clock: Clock;
  readonly #unbrokenMs: number;
  #startMs = Infinity;

  /** @param graceMs time from SIGTERM to SIGKILL, in ms. */
  constructor(clock: Clock, graceMs: number) {
    this.#clock = clock;
    // The rest of the grace time covers a signal that is handled late.
    this.#unbrokenMs = graceMs * UNBROKEN_GRACE_SHARE + UNBROKEN_MARGIN_MS;
  }

  /** Starts the shutdown; later calls change nothing. */
  start(): void {
    this.#startMs = Math.min(this.#startMs, this.#clock.monotonicMs());
  }

  get isDraining(): boolean {
    return this.#startMs < Infinity;
  }

  get isRefusingNewRequests(): boolean {
    return this.#hasPassed(REFUSE_NEW_REQUESTS_AFTER_MS);
  }

  /** Whether callers have had time to notice that the relay leaves. */
  get mayExit(): boolean {
    return this.#hasPassed(MIN_DRAIN_MS);
  }

  /** Whether the relay exits even with requests in flight. */
  get mustExit(): boolean {
    return this.#hasPassed(this.#unbrokenMs + LAST_RESPONSES_RESERVE_MS);
  }

  /**
   * Time at which requests in flight end, on the monotonic clock, in ms;
   * infinite before the start.
   */
  get deadlineMs(): number {
    return this.#startMs + this.#unbrokenMs;
  }

  #hasPassed(durationMs: number): boolean {
    return this.#clock.monotonicMs() >= this.#startMs + durationMs;
  }
}
