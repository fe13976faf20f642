import {z} from 'zod';

/** Records that a request was in flight when a worker crashed, and may be the cause. */
export const crashMarkSchema = z.strictObject({
  /** Digest of method, path, query and body of the request. */
  fingerprint: z.string().regex(/^[0-9a-f]{32}$/),
  /** Identifies the crash, so that one crash counts once. */
  crashId: z.string().max(96),
  /**
   * An earlier crash whose mark was known before this execution of the request
   * started; absent when both crashes may have had one common cause.
   */
  afterCrashId: z.string().max(96).optional(),
  /** Time until the mark expires, ms. */
  remainingMs: z.number().nonnegative(),
});

/** The mark of one request for one crash. */
export type CrashMark = z.output<typeof crashMarkSchema>;
