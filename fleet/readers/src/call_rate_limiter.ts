import type {Clock, RandomSource} from '@carobseam/core.types';

/** Options of a `CallBudget`. */
export interface CallRateLimiterOptions {
  clock: Clock;
  random: RandomSource;
  /** Calls per second that this daemon may make on average. */
  callsPerSecond: number;
  /** Calls that may be made at once after a quiet time. */
  burst: number;
}

const FIRST_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 30_000;

/** Token bucket with exponential backoff and full jitter after failures. */
export class CallRateLimiter {
  readonly #clock: Clock;
  readonly #random: RandomSource;
  #burst: number;
  #callsPerSecond: number;
  #tokens: number;
  #refilledMs: number;
  #failures = 0;
  #blockedUntilMs = 0;

  constructor(options: CallRateLimiterOptions) {
    this.#clock = options.clock;
    this.#random = options.random;
    this.#burst = options.burst;
    this.#callsPerSecond = options.callsPerSecond;
    this.#tokens = options.burst;
    this.#refilledMs = options.clock.monotonicMs();
  }

  /** Changes the share; calls that were saved up stay within the new burst. */
  setRate(callsPerSecond: number, burst: number): void {
    this.#refill();
    this.#callsPerSecond = callsPerSecond;
    this.#burst = burst;
    this.#tokens = Math.min(this.#tokens, burst);
  }

  /**
   * Takes one call and returns 0, or the time to wait for it, in whole ms: a
   * rounding error below the clock's resolution would be waited for for ever.
   */
  takeToken(): number {
    this.#refill();
    const nowMs = this.#clock.monotonicMs();
    if (nowMs < this.#blockedUntilMs) {
      return Math.ceil(this.#blockedUntilMs - nowMs);
    }
    if (this.#tokens >= 1) {
      this.#tokens -= 1;
      return 0;
    }
    return Math.ceil(((1 - this.#tokens) / this.#callsPerSecond) * 1000);
  }

  recordSuccess(): void {
    this.#failures = 0;
  }

  /** @param retryAfterMs time that the platform asked for, if any. */
  recordFailure(retryAfterMs = 0): void {
    const ceilingMs = Math.min(
      MAX_BACKOFF_MS,
      FIRST_BACKOFF_MS * 2 ** this.#failures,
    );
    this.#failures++;
    const backoffMs = retryAfterMs + this.#random.nextFloat() * ceilingMs;
    this.#blockedUntilMs = this.#clock.monotonicMs() + backoffMs;
  }

  #refill(): void {
    const nowMs = this.#clock.monotonicMs();
    const gained = ((nowMs - this.#refilledMs) / 1000) * this.#callsPerSecond;
    this.#tokens = Math.min(this.#burst, this.#tokens + gained);
    this.#refilledMs = nowMs;
  }
}
