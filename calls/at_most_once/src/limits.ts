/**
 * Limits of at-most-once execution. README.md derives them. The times hold
 * while the wall clocks of two daemons differ by at most `MAX_CLOCK_SKEW_MS`.
 */

/** Largest tolerated difference between the wall clocks of two daemons. */
export const MAX_CLOCK_SKEW_MS = 1000;

/** A key's issue time may be ahead of the owner's clock by this much. */
export const MAX_ISSUE_AHEAD_MS = 1000;

/**
 * A process executes no key that was issued less than this time after its
 * start, its last pause, the last jump of its wall clock or the last time it
 * regained contact with a majority. Sum of 1 s until the others have noticed
 * this, the 2 s maximum age of its majority contact, `MAX_CLOCK_SKEW_MS` and
 * `MAX_ISSUE_AHEAD_MS`.
 */
export const SETTLING_PERIOD_MS = 5000;

/** A dead member still owns keys issued within this time after its death. */
export const TAKEOVER_DELAY_MS = 10_000;

/** A process may have executed keys issued up to this time after its exit. */
export const PROVEN_EXIT_MARGIN_MS = MAX_CLOCK_SKEW_MS + MAX_ISSUE_AHEAD_MS;

/** Age up to which a key is accepted and its outcome is stored. */
export const KEY_VALIDITY_MS = 10 * 60_000;

/** Deviation from the monotonic clock from which the wall clock has jumped. */
export const MIN_WALL_JUMP_MS = 500;

/** Number of stored keys whose requests were executed. */
export const MAX_EXECUTED_KEYS = 20_000;

/** Number of stored keys that were refused, in addition to the above. */
export const MAX_REFUSED_KEYS = 20_000;

/** Headers and body of one stored response. */
export const MAX_RESPONSE_BYTES = 16 * 1024;

/**
 * Headers and bodies of all stored responses. A quarter of the memory that a
 * daemon may use for control; 20,000 responses of the maximum size would take
 * 320 MB.
 */
export const MAX_TOTAL_RESPONSE_BYTES = 8 * 1024 * 1024;
