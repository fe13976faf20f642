import type {Clock, RandomSource} from '@carobseam/core.types';

/** Options of a `CallRateLimiter`. */
export interface CallRateLimiterOptions {
  clock: Clock;
  random: RandomSource;
  /** Calls per second that this daemon may make on average. */
  callsPerSecond: number;
  /** Maximum number of calls that may be made at once after a period without calls. */
  burst: number;
}

const FIRST_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 30_000;

/**
 * Limits the rate of calls to the platform with a token bucket. After failures,
 * an exponential backoff with full jitter blocks further calls.
 */
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

  /** Changes the rate and the burst; unused tokens above the new burst are dropped. */
  setRate(callsPerSecond: number, burst: number): void {
    this.#refill();
    this.#callsPerSecond = callsPerSecond;
    this.#burst = burst;
    this.#tokens = Math.min(this.#tokens, burst);
  }

  /**
   * Takes a token and returns 0, or returns the time after which to try again.
   * That time is rounded up to whole ms: a rounding error could leave a rest
   * below the resolution of the clock, and the caller would retry without end.
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

  /**
   * Starts or extends the backoff.
   *
   * @param retryAfterMs delay that the platform requested, if any.
   */
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
    const newTokens =
      ((nowMs - this.#refilledMs) / 1000) * this.#callsPerSecond;
    this.#tokens = Math.min(this.#burst, this.#tokens + newTokens);
    this.#refilledMs = nowMs;
  }
}
