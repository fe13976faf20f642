/** Whether a worker may have run the request of a refused call. */
export type RefusalKind = 'not-run' | 'outcome-unknown';

interface RefusalDefinition {
  readonly kind: RefusalKind;
  readonly statusCode: number;
  /** Whether the same request may be sent again. */
  readonly retryable: boolean;
  readonly hint: string;
}

/** Definition of every refusal reason. */
export const refusalDefinitions = {
  starting: notRun(503, true, 'send the call to another daemon'),
  leaving: notRun(503, true, 'send the call to another daemon'),
  no_route: notRun(404, false, 'declare a route for the path and method'),
  no_worker: notRun(503, true, 'send the call again later'),
  worker_down: notRun(503, true, 'send the call again later'),
  peer_unreachable: notRun(503, true, 'send the call again later'),
  queue_full: notRun(429, true, 'send the call again after the given time'),
  deadline_too_short: notRun(429, true, 'allow the call more time'),
  deadline_exceeded: notRun(504, true, 'allow the call more time'),
  cancelled: notRun(499, true, 'the caller closed the connection'),
  depth_exceeded: notRun(508, false, 'remove the loop between services'),
  header_invalid: notRun(400, false, 'correct the header'),
  body_too_large: notRun(413, false, 'send a smaller body'),
  crash_suspect: notRun(422, false, 'change the request, it crashes workers'),
  key_invalid: notRun(
    400,
    false,
    'use <data centre>.<issue time in base 36>.<random> as idempotency key',
  ),
  key_too_old: notRun(409, false, 'issue a new key for a new operation'),
  key_memory_full: notRun(503, true, 'send the call again later'),
  key_in_future: notRun(400, true, 'correct the clock that issues keys'),
  key_unsettled: notRun(503, true, 'send the call again with a new key'),
  key_refused: notRun(409, false, 'send the call again with a new key'),
  no_majority: notRun(503, true, 'send the call to another data centre'),
  not_owner: notRun(503, true, 'send the call again'),
  worker_shed: unknown(503, 'send the call again later'),
  worker_failed: unknown(502, 'ask for the outcome before sending again'),
  response_timeout: unknown(504, 'ask for the outcome before sending again'),
  response_incomplete: unknown(502, 'ask for the outcome before sending again'),
  owner_unreachable: unknown(504, 'ask for the outcome before sending again'),
  owner_unknown: unknown(502, 'ask for the outcome before sending again'),
  owner_restarted: unknown(502, 'ask for the outcome before sending again'),
  owner_isolated: unknown(502, 'ask again with the same key'),
  owner_disputed: unknown(502, 'ask again with the same key'),
  outcome_expired: unknown(502, 'ask for the outcome before sending again'),
  // The request that first used the key may have run.
  key_conflict: unknown(422, 'use one key for one request only'),
  still_running: unknown(504, 'ask again with the same key'),
} as const satisfies Record<string, RefusalDefinition>;

/** Reason of a refusal. */
export type RefusalReason = keyof typeof refusalDefinitions;

/** JSON body of a refusal. */
export interface RefusalBody {
  refusal: RefusalKind;
  reason: RefusalReason;
  retryable: boolean;
  /** Time after which the caller may retry, in ms. */
  retryAfterMs?: number;
  hint: string;
}

/** Creates the JSON body of a refusal. */
export function refusalBody(
  reason: RefusalReason,
  retryAfterMs?: number,
): RefusalBody {
  const {kind, retryable, hint} = refusalDefinitions[reason];
  return {refusal: kind, reason, retryable, retryAfterMs, hint};
}

function notRun(
  statusCode: number,
  retryable: boolean,
  hint: string,
): RefusalDefinition {
  return {kind: 'not-run', statusCode, retryable, hint};
}

function unknown(statusCode: number, hint: string): RefusalDefinition {
  return {kind: 'outcome-unknown', statusCode, retryable: false, hint};
}
