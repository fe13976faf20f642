const WEIGHT = 0.1;
/** Mean deviations above the mean that nearly all calls stay below. */
const DEVIATIONS = 2;

/** Learned service time of the worker, ms; 0 until the first call ends. */
export class ServiceTime {
  #meanMs = 0;
  #deviationMs = 0;

  learn(durationMs: number): void {
    if (this.#meanMs === 0) {
      this.#meanMs = durationMs;
      return;
    }
    const difference = durationMs - this.#meanMs;
    this.#meanMs += difference * WEIGHT;
    this.#deviationMs += (Math.abs(difference) - this.#deviationMs) * WEIGHT;
  }

  get meanMs(): number {
    return this.#meanMs;
  }

  /** Time that nearly each call needs at most. */
  get highMs(): number {
    return this.#meanMs + DEVIATIONS * this.#deviationMs;
  }
}
