/** Weight of a new sample in the averages. */
const WEIGHT = 0.1;
/** Nearly all calls are faster than the mean plus this many mean deviations. */
const DEVIATIONS_ABOVE_MEAN = 2;

/**
 * Estimate of the worker's service time: exponentially weighted moving averages
 * of the durations and of their deviations; 0 until the first call has ended.
 */
export class ServiceTimeEstimate {
  #meanMs = 0;
  #deviationMs = 0;

  addSample(durationMs: number): void {
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

  /** Service time that nearly all calls stay below. */
  get upperBoundMs(): number {
    return this.#meanMs + DEVIATIONS_ABOVE_MEAN * this.#deviationMs;
  }
}
