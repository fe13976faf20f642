/** A request that was in flight when a worker crashed. */
export interface InFlightRequest {
  readonly fingerprint: string;
  /** Monotonic time at which it was written to the worker, ms. */
  readonly startedMonotonicMs: number;
  /**
   * Whether it was a daemon's retry after another worker failed. Such a request
   * may have started before the mark of that crash arrived here.
   */
  readonly resent?: boolean;
}

/**
 * Stores crash marks. A mark records that a request, identified by its
 * fingerprint, was in flight when a worker crashed.
 */
export interface CrashMarkStore {
  /** False while there is no mark; calls then need no fingerprint. */
  readonly hasMarks: boolean;
  /**
   * Whether requests with this fingerprint are suspected of crashing workers.
   */
  isRefused(fingerprint: string): boolean;
  /**
   * Marks the requests that were in flight at one crash. For requests without a
   * start time, a crash within a second of the previous mark counts as the same
   * event.
   */
  recordCrash(
    crashId: string,
    requests: readonly (string | InFlightRequest)[],
  ): void;
  /** Clears the marks of a request that has completed, unless it is refused. */
  recordCompletion(fingerprint: string): void;
}
