/** HTTP headers of calls, in lower case. */
export const callHeaders = {
  /** Remaining time of the call, ms. */
  deadline: 'x-carobseam-deadline-ms',
  /** Number of services that the call has passed through, at most 10. */
  depth: 'x-carobseam-depth',
  /** Set by a daemon that forwards a call to a peer: the worker's VM id. */
  hop: 'x-carobseam-hop',
  /** `running/queued/slots` of the worker that responded. */
  load: 'x-carobseam-load',
  /** `not-run` or `outcome-unknown`. */
  refusal: 'x-carobseam-refusal',
  /** Reason of a refusal. */
  reason: 'x-carobseam-reason',
  /** Configuration version that the call used. */
  version: 'x-carobseam-version',
  /** `1` when the caller sends this idempotency key for the first time. */
  firstSend: 'x-carobseam-first-send',
  /** `<data centre>.<issue time in base 36>.<random>`. */
  idempotencyKey: 'idempotency-key',
  retryAfter: 'retry-after',
  /** `1` on the responses of a daemon that is leaving. */
  leaving: 'x-carobseam-leaving',
  /**
   * `1` on a failure that a daemon has already retried or decided not to retry.
   */
  retried: 'x-carobseam-retried',
  /** `1` between daemons on a retry after a failure. */
  resent: 'x-carobseam-resent',
  /** Set between daemons; identifies the call for a later probe. */
  callId: 'x-carobseam-call-id',
  /**
   * Call id in a probe, which asks a daemon whether the call is still in
   * progress.
   */
  probe: 'x-carobseam-probe',
} as const;

/** Maximum number of services that a call may pass through. */
export const MAX_CALL_DEPTH = 10;
