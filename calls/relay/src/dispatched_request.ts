import type {ExchangeResponse} from '@carobseam/calls.exchange';
import type {MeshRoute} from '@carobseam/config.mesh';
import type {ServiceName} from '@carobseam/core.types';
import type {Readable} from 'node:stream';

/** A request from a caller, with its route. */
export interface DispatchedRequest {
  id: string | undefined;
  route: MeshRoute;
  service: ServiceName;
  method: string;
  url: string;
  headers: string[];
  body: Buffer | Readable;
  /** Whether the caller has closed its connection; by default it has not. */
  hasCallerLeft?: () => boolean;
  /** Whether the caller has no time for a retry after a refusal. */
  isLastCallerAttempt: boolean;
  /**
   * When the response misses the target latency, on the monotonic clock, in ms.
   */
  dueAtMs: number;
  /** When the caller's or the route's timeout ends, on the same clock. */
  expiresAtMs: number;
}

/**
 * Outcome of a dispatched request: a response, a refusal that guarantees that
 * this attempt of the caller did not run, or an unknown outcome.
 */
export type DispatchResult =
  | {kind: 'response'; response: ExchangeResponse; attempts: number}
  | {kind: 'refused'; reason: string; waitMs: number; serviceMs: number}
  | {kind: 'unknown'; reason: string}
  /** Refused for good, because it crashes workers. */
  | {kind: 'quarantined'; reason: string};
