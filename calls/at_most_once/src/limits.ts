/**
 * Limits of at-most-once calls. README.md derives them; the times hold for
 * wall clocks that differ by at most `DRIFT_MS`.
 */

/** Largest difference between the wall clocks of two daemons, ms. */
export const MAX_CLOCK_SKEW_MS = 1000;

/** A key may be issued this far in the future of the owner's clock, ms. */
export const MAX_ISSUE_AHEAD_MS = 1000;

/**
 * A worker runs no key that was issued less than this after its start, a
 * wake, a jump of its wall clock or the return of its majority, ms. The sum
 * of 1 s in which the others learn of it, 2 s of age of its majority contact,
 * `DRIFT_MS` and `FUTURE_MS`.
 */
export const SETTLING_PERIOD_MS = 5000;

/** A dead member owns the keys that are issued up to this time later, ms. */
export const TAKEOVER_DELAY_MS = 10_000;

/** A process that is gone may have run keys issued this much later, ms. */
export const PROVEN_EXIT_MARGIN_MS = MAX_CLOCK_SKEW_MS + MAX_ISSUE_AHEAD_MS;

/** Age up to which a key is accepted and its outcome is remembered, ms. */
export const KEY_VALIDITY_MS = 10 * 60_000;

/** A deviation of the wall clock from the monotonic one is a jump, ms. */
export const MIN_WALL_JUMP_MS = 500;

/** Number of keys whose runs are remembered. */
export const MAX_EXECUTED_KEYS = 20_000;

/** Number of further keys that are remembered because they were refused. */
export const MAX_REFUSED_KEYS = 20_000;

/** Headers and body of one remembered response, bytes. */
export const MAX_RESPONSE_BYTES = 16 * 1024;

/**
 * Headers and bodies of all remembered responses, bytes. A quarter of the
 * memory that a daemon may use for control; 20,000 full responses would take
 * 320 MB.
 */
export const MAX_TOTAL_RESPONSE_BYTES = 8 * 1024 * 1024;
