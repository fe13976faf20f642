import type {
  ExchangeFailure,
  ExchangeResponse,
  FailureReason,
} from '@carobseam/calls.exchange';
import type {AttemptOutcome} from '@carobseam/calls.placement';
import type {LogFields} from '@carobseam/core.logger';
import {gateTimes, roundMs} from './log_times.js';
import type {GateResult} from './gate_request.js';

/** Result of one attempt to have a worker run a request. */
export interface AttemptResult {
  outcome: AttemptOutcome;
  reason: string;
  waitMs: number;
  response?: ExchangeResponse;
  /** What happened during the attempt, for the log. */
  details?: LogFields;
}

/** Converts the failure of a hop to another relay. */
export function failureToAttemptResult(
  failure: ExchangeFailure,
): AttemptResult {
  const {kind, reason, silentMs, receivedInterims, receivedBytes} = failure;
  const details = {
    silentMs: roundMs(silentMs),
    interims: receivedInterims,
    bytes: receivedBytes,
  };
  return {outcome: kind, reason, waitMs: 0, details};
}

const CONNECT_FAILED: FailureReason = 'connect_failed';
/** Reason of a worker that refuses the connections of the relay beside it. */
export const WORKER_DOWN = 'workerDown';
/** Reason for a request that no worker must run, because it crashes workers. */
export const QUARANTINED = 'quarantined';
/** Reasons of workers that are full. */
export const FULL_REASONS = new Set(['wouldBeLate', 'wouldExpire']);
/** Reasons which show that a worker is not at its address any more. */
export const STALE_ADDRESS_REASONS = new Set(['421', 'workerGone']); // 421: another worker uses the address

/** Converts the result of the gate in front of the worker. */
export function toAttemptResult(result: GateResult): AttemptResult {
  const {verdict, reason, response} = result;
  const waitMs = result.retryAfterMs;
  const details = gateTimes(result);
  if (verdict === 'answered') {
    const outcome = response!.status >= 500 ? 'failed' : 'answered';
    return {outcome, reason, waitMs, response, details};
  }
  const isDown = verdict === 'notSent' && reason === CONNECT_FAILED;
  return {
    outcome: verdict,
    reason: isDown ? WORKER_DOWN : reason,
    waitMs,
    details,
  };
}
