import type {Clock} from '@carobseam/core.types';

const BURST_MS = 1000; // of the rate may start at once after a pause; callers do not send evenly
const MIN_RATE_PER_S = 0.5; // only a response of the worker can lift a limit, so some requests are always sent
const MS_PER_S = 1000;
const ROUNDING = 1e-6; // of a token, so that a timer for the next one finds it

/** Rate limit of a worker, as the relay on its VM reports it. */
export interface WorkerRateLimit {
  /** Requests per second. */
  perS: number;
  /** Requests that may start at once; a fraction of one accrues over time. */
  available: number;
}

/**
 * Token bucket for the rate at which a worker's requests start. Without a limit
 * every request may start at once.
 */
export class RateLimiter {
  readonly #clock: Clock;
  #perS = Infinity;
  #tokens = 0;
  #refilledMs = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get isLimited(): boolean {
    return this.#perS !== Infinity;
  }

  /** The limit in force; undefined without one. */
  get limit(): WorkerRateLimit | undefined {
    if (!this.isLimited) {
      return undefined;
    }
    this.#refill();
    return {perS: this.#perS, available: this.#tokens};
  }

  /**
   * Sets the limit; undefined lifts it. A new limit starts with an empty bucket,
   * because the requests before it have exceeded it.
   *
   * @param perS requests per second.
   * @return whether the limit has changed.
   */
  setLimit(perS: number | undefined): boolean {
    const limitPerS =
      perS === undefined ? Infinity : Math.max(perS, MIN_RATE_PER_S);
    if (limitPerS === this.#perS) {
      return false;
    }
    this.#refill();
    if (!this.isLimited) {
      this.#tokens = 0;
    }
    this.#perS = limitPerS;
    this.#tokens = Math.min(this.#tokens, this.#maxTokens());
    return true;
  }

  /**
   * Time until a request may start, in ms.
   *
   * @param ahead requests that start before it.
   */
  delayMs(ahead: number): number {
    if (!this.isLimited) {
      return 0;
    }
    this.#refill();
    const missing = ahead + 1 - this.#tokens;
    return Math.max(0, (missing / this.#perS) * MS_PER_S);
  }

  /** Takes the token of a request that starts; false when there is none. */
  take(): boolean {
    if (!this.isLimited) {
      return true;
    }
    this.#refill();
    if (this.#tokens < 1 - ROUNDING) {
      return false;
    }
    this.#tokens--;
    return true;
  }

  #maxTokens(): number {
    return Math.max(1, (this.#perS * BURST_MS) / MS_PER_S);
  }

  #refill(): void {
    const nowMs = this.#clock.monotonicMs();
    const elapsedMs = nowMs - this.#refilledMs;
    this.#refilledMs = nowMs;
    if (this.isLimited) {
      this.#tokens = Math.min(
        this.#maxTokens(),
        this.#tokens + (elapsedMs / MS_PER_S) * this.#perS,
      );
    }
  }
}
