import type {WorkerRateLimit} from './rate_limiter.js';

/** Properties of a request that decide its place in the queue of its worker. */
export interface QueuedRequest {
  /** Priority; 0 is the highest. */
  rank: number;
  /** Whether the caller has no time for a retry after a refusal. */
  isLastCallerAttempt: boolean;
  /**
   * When the response misses the target latency, on the monotonic clock, in ms.
   */
  dueAtMs: number;
  /**
   * When the caller's or the route's timeout ends, on the same clock, in ms.
   */
  expiresAtMs: number;
}

/** Time in which no worker responds, in ms; with less left, a request is lost. */
export const MIN_REMAINING_MS = 30;

const MAX_DISTINCT_RANK = 3; // requests of lower priority share a class and are ordered by due time only

/**
 * Number of priority classes; the last one is for requests that will miss the
 * target latency.
 */
export const PRIORITY_CLASS_COUNT = MAX_DISTINCT_RANK + 2;

/** Class of the requests that will miss the target latency. */
export const LATE_CLASS = PRIORITY_CLASS_COUNT - 1;

/**
 * Returns the priority class of a request that can still meet its target
 * latency; 0 is served first.
 */
export function priorityClassOf(request: Pick<QueuedRequest, 'rank'>): number {
  return Math.min(request.rank, MAX_DISTINCT_RANK);
}

/** Load of a worker, as the relay on its VM reports it. */
export interface WorkerLoad {
  running: number;
  /** Queued requests of each priority class. */
  queued: readonly number[];
  slots: number;
  /** Mean service time of each priority class, in ms; 0 when unknown. */
  serviceMs: readonly number[];
  /** Mean service time of all requests, in ms; 0 when unknown. */
  meanServiceMs: number;
  /** Share of recent requests that the worker failed or rejected, 0 to 1. */
  failureShare: number;
  /** Absent when the worker states no rate limit. */
  rateLimit?: WorkerRateLimit;
  /** Whether the worker is leaving or its relay is draining. */
  isLeaving: boolean;
}
