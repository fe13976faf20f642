/** A request that was in flight when a worker crashed. */
export interface InFlightRequest {
  readonly fingerprint: string;
  /** Monotonic time at which it was written to the worker, ms. */
  readonly startedMonotonicMs: number;
  /**
   * Whether a daemon wrote it again because another worker failed. It may have
   * started before the mark of that crash arrived here.
   */
  readonly resent?: boolean;
}

/** Marks of requests that were in flight when a worker crashed. */
export interface CrashMarkStore {
  /** False while there is no mark, so that calls need no fingerprint. */
  readonly hasMarks: boolean;
  /** Whether requests with this fingerprint crashed workers twice. */
  isRefused(fingerprint: string): boolean;
  /**
   * Marks the requests that were in flight at one crash. Without start times,
   * a crash within a second of the previous mark counts as the same event.
   */
  recordCrash(
    crashId: string,
    requests: readonly (string | InFlightRequest)[],
  ): void;
  /** Clears a single mark, because the request has completed. */
  recordCompletion(fingerprint: string): void;
}
