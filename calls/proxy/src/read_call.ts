import type {ResolvedRoute} from '@carobseam/calls.routing';
import {callHeaders} from '@carobseam/calls.types';
import {
  parseIdempotencyKey,
  type IdempotencyKey,
} from '@carobseam/calls.at_most_once';
import type {Clock, ServiceName} from '@carobseam/core.types';
import type {IncomingMessage} from 'node:http';
import type {CallData} from './call_data.js';
import {RequestBody} from './request_body.js';

export interface ReadCallOptions {
  req: IncomingMessage;
  resolved: ResolvedRoute;
  depth: number;
  timeoutMs: number;
  clock: Clock;
  issueKey: (service: ServiceName) => IdempotencyKey;
}

/**
 * Reads a call and issues an idempotency key when a non-idempotent call has
 * none.
 *
 * @returns undefined when the idempotency key of the request is malformed.
 */
export function readCall(options: ReadCallOptions): CallData | undefined {
  const {req, resolved, depth, timeoutMs, clock, issueKey} = options;
  const unkeyedCall: CallData = {
    req,
    method: req.method!,
    url: req.url!,
    body: new RequestBody(req),
    resolved,
    deadlineMs: clock.monotonicMs() + timeoutMs,
    depth,
    firstSend: false,
    resent: req.headers[callHeaders.resent] === '1',
  };
  if (resolved.route.repeatable) {
    return unkeyedCall;
  }
  const text = req.headers[callHeaders.idempotencyKey];
  if (text === undefined) {
    const key = issueKey(resolved.service.name);
    return {...unkeyedCall, key, firstSend: true};
  }
  const key = parseIdempotencyKey(String(text));
  const firstSend = req.headers[callHeaders.firstSend] === '1';
  return key && {...unkeyedCall, key, firstSend};
}
