/** Handle of a scheduled callback. */
export interface Timer {
  /** Cancels the callback. Safe to call more than once. */
  cancel(): void;
}

/** Source of time and timers; tests inject a manually advanced clock. */
export interface Clock {
  /** Milliseconds from an arbitrary origin, never decreasing. */
  monotonicMs(): number;
  /** Milliseconds since the Unix epoch; may jump when the clock is set. */
  wallMs(): number;
  /** Runs a callback once after a delay. */
  setTimer(delayMs: number, run: () => void): Timer;
}
