const MAX_SCORE = 4;

/**
 * Estimates from the outcomes of this daemon's probes whether the daemon, or
 * the whole data centre, is short of CPU time. Timeouts are lengthened in that
 * case. Otherwise, overload would look like the failure of many members, and
 * the resulting messages would add to the load.
 */
export class LocalHealth {
  #score = 0;

  /** Factor for the probe and suspicion timeouts; 1 while probes succeed. */
  get timeoutMultiplier(): number {
    return 1 + this.#score;
  }

  recordSuccess(): void {
    this.#score = Math.max(0, this.#score - 1);
  }

  recordFailure(): void {
    this.#score = Math.min(MAX_SCORE, this.#score + 1);
  }
}
