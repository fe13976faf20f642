import type {RandomSource} from '@carobseam/core.types';

/** Inputs for the Retry-After time of a refused request. */
export interface RetryAfterInputs {
  /**
   * Time until the response misses the target latency, in ms; negative once
   * missed.
   */
  dueInMs: number;
  /** Whether the refused request was a retry after an earlier refusal. */
  isCallerRetry: boolean;
  /** Time for which the caller still waits, in ms. */
  callerRemainingMs: number;
  /** Expected time until a slot is free, in ms. */
  waitMs: number;
  /** Expected service time at a worker, in ms. */
  serviceMs: number;
  random: RandomSource;
}

const MIN_RETRY_AFTER_MS = 20; // a caller needs about as long to open a new connection
const MAX_RETRY_AFTER_SHARE = 1 / 3; // of the caller's remaining time; callers ignore a longer Retry-After
const JITTER_SHARE = 0.5; // so that callers that were refused together do not retry together
const SHORT_WAIT_SHARE = 0.6; // of the time in which a retry can still be served in time; a longer queue is unlikely to be short-lived

/**
 * Computes the Retry-After time of a refused request, in ms. After a first
 * refusal this is the expected time until a slot is free, if a retry can then
 * still meet the target latency. Otherwise it is the longest time that the
 * caller accepts, when the load is more likely to have dropped.
 */
export function computeRetryAfterMs(inputs: RetryAfterInputs): number {
  const jitter = 1 - JITTER_SHARE + inputs.random.nextFloat() * JITTER_SHARE;
  const latestMs = inputs.callerRemainingMs * MAX_RETRY_AFTER_SHARE;
  const latestStartMs = inputs.dueInMs - inputs.serviceMs;
  const isShortWait = inputs.waitMs <= latestStartMs * SHORT_WAIT_SHARE;
  if (isShortWait && !inputs.isCallerRetry) {
    const wantedMs = Math.max(MIN_RETRY_AFTER_MS, inputs.waitMs * jitter);
    return Math.min(latestMs, wantedMs);
  }
  return Math.max(MIN_RETRY_AFTER_MS, latestMs * jitter);
}

const MS_PER_S = 1000;

/** Returns the Retry-After header, as name and value. */
export function retryAfterHeader(afterMs: number): string[] {
  return ['Retry-After', (afterMs / MS_PER_S).toFixed(3)];
}
