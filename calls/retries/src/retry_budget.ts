import type {Clock} from '@carobseam/core.types';

const BUCKET_MS = 1000;
const BUCKET_COUNT = 10;
// With little traffic the share of the calls would be less than one retry.
const MIN_RETRIES = 3;

/** Limits the retries in the last 10 s to a share of the calls in that time. */
export class RetryBudget {
  readonly #clock: Clock;
  readonly #calls = new Array<number>(BUCKET_COUNT).fill(0);
  readonly #retries = new Array<number>(BUCKET_COUNT).fill(0);
  #bucket = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#bucket = this.#currentBucket();
  }

  countCall(): void {
    this.#advance();
    this.#calls[this.#bucket % BUCKET_COUNT]!++;
  }

  /**
   * Takes one retry; false when the budget is exhausted.
   *
   * @param percent share of the calls that may be retried.
   * @param minRetries retries in 10 s that are allowed regardless of the traffic.
   */
  take(percent: number, minRetries = MIN_RETRIES): boolean {
    this.#advance();
    const allowed = Math.max(minRetries, (sum(this.#calls) * percent) / 100);
    if (percent === 0 || sum(this.#retries) + 1 > allowed) {
      return false;
    }
    this.#retries[this.#bucket % BUCKET_COUNT]!++;
    return true;
  }

  #advance(): void {
    const current = this.#currentBucket();
    const first = Math.max(this.#bucket + 1, current - BUCKET_COUNT + 1);
    for (let bucket = first; bucket <= current; bucket++) {
      this.#calls[bucket % BUCKET_COUNT] = 0;
      this.#retries[bucket % BUCKET_COUNT] = 0;
    }
    this.#bucket = current;
  }

  #currentBucket(): number {
    return Math.floor(this.#clock.monotonicMs() / BUCKET_MS);
  }
}

function sum(values: readonly number[]): number {
  let total = 0;
  for (const value of values) {
    total += value;
  }
  return total;
}
