import type {IdempotencyKey} from '@carobseam/calls.at_most_once';
import type {ResolvedRoute} from '@carobseam/calls.routing';
import type {IncomingMessage} from 'node:http';
import type {RequestBody} from './request_body.js';

/** Request data of a call, as this daemon received it. */
export interface CallData {
  readonly req: IncomingMessage;
  readonly method: string;
  /** Request target with its query string. */
  readonly url: string;
  readonly body: RequestBody;
  readonly resolved: ResolvedRoute;
  /** Monotonic time by which the response must have arrived, ms. */
  readonly deadlineMs: number;
  /** Number of services that the call has passed through before. */
  readonly depth: number;
  /** Idempotency key; set when the operation is not idempotent. */
  readonly key?: IdempotencyKey;
  /** Whether no earlier attempt with this key can have been sent. */
  readonly firstSend: boolean;
  /** Whether this attempt is a daemon's retry after another worker failed. */
  resent: boolean;
}
