const SAMPLE_COUNT = 128; // a few seconds of a busy route
const MIN_SAMPLES = 8; // with fewer, every shorter deadline counts as a retry
const TOP_SHARE = 0.05; // of the deadlines are ignored at the top, as those of unusually patient callers
const UPPER_SHARE = 0.3; // first attempts are at least this share of the requests
const MAX_SPREAD = 0.25;
const MARGIN = 1.3; // for the error of the estimate, so that the shortest deadline of a first attempt does not look like a retry
const SAMPLES_PER_UPDATE = 8;

/**
 * Recent deadlines that callers of one route have sent. The deadlines of first
 * attempts lie between the longest one and a share below it, evenly spread; those
 * of retries are shorter by the time that has passed.
 */
export class FirstAttemptDeadlines {
  readonly #samplesMs: number[] = [];
  #next = 0;
  #addedSinceUpdate = 0;
  #longestMs = 0;
  /** Spread of the deadlines of first attempts, as a share of the longest one. */
  #spread = 0;

  /** Longest usual deadline, in ms; of few deadlines the latest one. */
  get longestMs(): number {
    return this.#longestMs;
  }

  add(deadlineMs: number): void {
    this.#samplesMs[this.#next] = deadlineMs;
    this.#next = (this.#next + 1) % SAMPLE_COUNT;
    this.#addedSinceUpdate++;
    if (this.#samplesMs.length < MIN_SAMPLES) {
      this.#longestMs = deadlineMs;
    } else if (this.#addedSinceUpdate >= SAMPLES_PER_UPDATE) {
      this.#update();
    }
  }

  /**
   * Estimates the time between the first attempt of a caller and the request with
   * this deadline, in ms.
   *
   * @param longestMs longest deadline of first attempts.
   */
  elapsedMs(deadlineMs: number, longestMs: number): number {
    if (deadlineMs >= longestMs * (1 - this.#spread * MARGIN)) {
      return 0;
    }
    const meanMs = longestMs * (1 - this.#spread / 2);
    return Math.max(0, meanMs - deadlineMs);
  }

  #update(): void {
    this.#addedSinceUpdate = 0;
    const sorted = [...this.#samplesMs].sort((a, b) => b - a);
    this.#longestMs = sorted[Math.floor(sorted.length * TOP_SHARE)]!;
    const upperMs = sorted[Math.floor(sorted.length * UPPER_SHARE)]!;
    const spread = (1 - upperMs / this.#longestMs) / (UPPER_SHARE - TOP_SHARE);
    this.#spread = Math.min(MAX_SPREAD, spread);
  }
}
