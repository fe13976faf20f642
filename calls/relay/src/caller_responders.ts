import type {Clock, RandomSource} from '@carobseam/core.types';
import type {LogFields} from '@carobseam/core.logger';
import type {ServerResponse} from 'node:http';
import {Readable} from 'node:stream';
import type {DispatchedRequest, DispatchResult} from './dispatched_request.js';
import {computeRetryAfterMs, retryAfterHeader} from './retry_after.js';
import {sendResponse} from './send_response.js';

const QUARANTINE_STATUS = 422; // the same request gets the same status again

/** Times of a caller's request. */
export interface RequestTimes extends Pick<
  DispatchedRequest,
  'dueAtMs' | 'expiresAtMs' | 'isLastCallerAttempt'
> {
  isCallerRetry: boolean;
  /** Whether the local worker sent it in the course of another request. */
  isWorkerCall: boolean;
  /** When the caller's deadline ends, on the monotonic clock, in ms. */
  callerDeadlineMs: number;
}

/** How to respond to a caller. */
export interface RespondOptions {
  response: ServerResponse;
  times: RequestTimes;
  clock: Clock;
  random: RandomSource;
  refuse: (status: number, headers: readonly string[]) => void;
  extraHeaders: readonly string[];
  recordEnd: (outcome: string, fields: LogFields) => void;
}

type ResultOfKind<Kind extends DispatchResult['kind']> = Extract<
  DispatchResult,
  {kind: Kind}
>;

/** Responds to a caller, by the kind of the result. */
export const RESPONDERS: {
  [Kind in DispatchResult['kind']]: (
    result: ResultOfKind<Kind>,
    options: RespondOptions,
  ) => void;
} = {
  response: (result, options) => {
    const {status} = result.response;
    options.recordEnd('answered', {status, attempts: result.attempts});
    sendResponse(options.response, result.response, options.extraHeaders);
  },
  refused: (result, options) => {
    const nowMs = options.clock.monotonicMs();
    const afterMs = computeRetryAfterMs({
      dueInMs: options.times.dueAtMs - nowMs,
      isCallerRetry: options.times.isCallerRetry,
      callerRemainingMs: options.times.callerDeadlineMs - nowMs,
      waitMs: result.waitMs,
      serviceMs: result.serviceMs,
      random: options.random,
    });
    options.recordEnd('refused', {
      reason: result.reason,
      retryAfterMs: Math.round(afterMs),
    });
    options.refuse(503, retryAfterHeader(afterMs));
  },
  quarantined: (result, options) => {
    options.recordEnd('quarantined', {reason: result.reason});
    options.refuse(QUARANTINE_STATUS, []);
  },
  unknown: (result, options) => {
    options.recordEnd('unknown', {reason: result.reason});
    options.refuse(502, []);
  },
};

/** Whether the body of the response is still being received. */
export function isStreamed(result: DispatchResult): boolean {
  return result.kind === 'response' && result.response.body instanceof Readable;
}
