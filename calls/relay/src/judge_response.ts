import {
  discardResponse,
  headerValue,
  headerValues,
  type ExchangeResponse,
  type ExchangeResult,
} from '@carobseam/calls.exchange';
import {wireHeaders} from '@carobseam/platform.adapter';
import type {HopVerdict} from './hop_message.js';
import type {GateResult} from './gate_request.js';

// Callers retry after these statuses, even a request that is not idempotent.
const RETRIED_STATUSES = new Set([408, 429, 503]);
const MIN_REFUSAL_STATUS = 400; // a success or a redirect contradicts the statement that the request was not run

/** Converts what a worker responded, or why it did not. */
export function toGateResult(result: ExchangeResult): GateResult {
  if (result.kind !== 'response') {
    return {verdict: result.kind, reason: result.reason, retryAfterMs: 0};
  }
  const [verdict, reason] = judgeResponse(result);
  if (verdict !== 'answered') {
    discardResponse(result);
    return {verdict, reason, retryAfterMs: 0};
  }
  return {verdict, reason, retryAfterMs: 0, response: result};
}

function judgeResponse({
  status,
  headers,
}: ExchangeResponse): [verdict: HopVerdict, reason: string] {
  const statesNotExecuted =
    headerValue(headers, wireHeaders.notExecuted) !== undefined;
  if (statesNotExecuted && status < MIN_REFUSAL_STATUS) {
    return ['unknown', 'unprovenRefusal'];
  }
  const isRejected = statesNotExecuted || status === 421;
  if (isRejected) {
    return ['rejected', String(status)];
  }
  if (headerValues(headers, wireHeaders.workerSignature).size !== 1) {
    // An unsigned response may come from something other than the worker; with
    // two signatures, the heads of two responses have merged.
    return ['unknown', 'unsealed'];
  }
  if (RETRIED_STATUSES.has(status)) {
    // Callers would conclude that the request did not run, but the worker has
    // not stated this.
    return ['unknown', 'unprovenRefusal'];
  }
  return ['answered', String(status)];
}
