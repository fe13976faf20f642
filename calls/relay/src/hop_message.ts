import type {
  QueuedRequest,
  WorkerLoad,
  WorkerRateLimit,
} from '@carobseam/calls.worker_queue';
import type {WorkerId} from '@carobseam/config.mesh';

/** Headers between two relays; the values are lists separated by semicolons. */
export const hopHeaders = {
  request: 'x-cs-hop',
  response: 'x-cs-load',
  /** When the request was written, by the sender's clock; see `HopStamps`. */
  sentAt: 'x-cs-sent',
  /** Only in requests of which an attempt at another worker has failed. */
  resent: 'x-cs-resent',
  /** Only in requests for a worker whose rate limit the sender knows. */
  knownRateLimit: 'x-cs-limit',
  /** Only in responses about a worker that states a limit or that it leaves. */
  statement: 'x-cs-statement',
} as const;

/** Metadata that a relay sends to the worker's relay with each request. */
export interface HopRequest {
  worker: WorkerId;
  isIdempotent: boolean;
  rank: number;
  isLastCallerAttempt: boolean;
  /** Time until the response misses the target latency, in ms. */
  dueInMs: number;
  /** Time until the caller's or the route's timeout, in ms. */
  expiresInMs: number;
}

/**
 * Outcome of a request at the worker's relay: the worker sent a response, it
 * stated that it did not run the request, the request was not sent to the
 * worker, or it is unknown whether the worker ran the request.
 */
export type HopVerdict = 'answered' | 'rejected' | 'notSent' | 'unknown';

/**
 * Outcome and worker load that the worker's relay returns with each response.
 */
export interface HopResponse {
  verdict: HopVerdict;
  /** Why the request was not sent, what failed, or the response's status. */
  reason: string;
  /** Expected time until a slot is free, in ms. */
  retryAfterMs: number;
  load: WorkerLoad;
}

/** What the worker has stated about itself, as its relay knows it. */
export interface HopStatement {
  isWorkerLeaving: boolean;
  rateLimit?: WorkerRateLimit;
}

export function encodeHopRequest(hop: HopRequest): string {
  return [
    hop.worker,
    hop.isIdempotent ? 1 : 0,
    hop.rank,
    hop.isLastCallerAttempt ? 1 : 0,
    Math.round(hop.dueInMs),
    Math.round(hop.expiresInMs),
  ].join(';');
}

/** @return undefined when the text is not a valid request hop header. */
export function decodeHopRequest(
  text: string | undefined,
): HopRequest | undefined {
  const parts = text?.split(';') ?? [];
  const [rank, isLastCallerAttempt, dueInMs, expiresInMs] = parts
    .slice(2)
    .map(Number);
  if (parts.length !== 6 || !Number.isFinite(expiresInMs)) {
    return undefined;
  }
  return {
    worker: parts[0] as WorkerId,
    isIdempotent: parts[1] === '1',
    rank: rank!,
    isLastCallerAttempt: isLastCallerAttempt === 1,
    dueInMs: dueInMs!,
    expiresInMs: expiresInMs!,
  };
}

/** Converts the relative times of a hop to the receiver's monotonic clock. */
export function toQueuedRequest(hop: HopRequest, nowMs: number): QueuedRequest {
  return {
    rank: hop.rank,
    isLastCallerAttempt: hop.isLastCallerAttempt,
    dueAtMs: nowMs + hop.dueInMs,
    expiresAtMs: nowMs + hop.expiresInMs,
  };
}

// Encoded as the index in this list.
const VERDICTS: readonly HopVerdict[] = [
  'answered',
  'rejected',
  'notSent',
  'unknown',
];
const PERCENT = 100;

export function encodeHopResponse(response: HopResponse): string {
  const {load} = response;
  return [
    VERDICTS.indexOf(response.verdict),
    response.reason,
    Math.round(response.retryAfterMs),
    load.running,
    load.slots,
    Math.round(load.meanServiceMs),
    Math.round(load.failureShare * PERCENT),
    load.isLeaving ? 1 : 0,
    load.queued.join(),
    load.serviceMs.map(Math.round).join(),
  ].join(';');
}

/** Encodes a known rate limit as a header; there is none without a limit. */
export function encodeKnownRateLimit(perS: number | undefined): string[] {
  return perS === undefined ? [] : [hopHeaders.knownRateLimit, String(perS)];
}

/**
 * Encodes what the worker has stated about itself, as headers with alternating
 * names and values; there are none when it has stated nothing.
 */
export function encodeHopStatement(
  load: WorkerLoad,
  isWorkerLeaving: boolean,
): string[] {
  const {rateLimit} = load;
  if (!rateLimit && !isWorkerLeaving) {
    return [];
  }
  const limit = rateLimit
    ? [rateLimit.perS, rateLimit.available.toFixed(1)]
    : ['', ''];
  return [hopHeaders.statement, [isWorkerLeaving ? 1 : 0, ...limit].join(';')];
}

/** Decodes the header of `encodeHopStatement`; absent, nothing was stated. */
export function decodeHopStatement(text: string | undefined): HopStatement {
  const [isLeaving, perS, available] = (text ?? '').split(';');
  return {
    isWorkerLeaving: isLeaving === '1',
    rateLimit:
      Number(perS) > 0
        ? {perS: Number(perS), available: Number(available)}
        : undefined,
  };
}

/** @return undefined when the text is not a valid response hop header. */
export function decodeHopResponse(
  text: string | undefined,
): HopResponse | undefined {
  const parts = text?.split(';') ?? [];
  const verdict = VERDICTS[Number(parts[0])];
  if (parts.length !== 10 || !verdict) {
    return undefined;
  }
  const [retryAfterMs, running, slots, meanServiceMs, failurePercent] = parts
    .slice(2, 7)
    .map(Number);
  return {
    verdict,
    reason: parts[1]!,
    retryAfterMs: retryAfterMs!,
    load: {
      running: running!,
      slots: slots!,
      meanServiceMs: meanServiceMs!,
      failureShare: failurePercent! / PERCENT,
      isLeaving: parts[7] === '1',
      queued: parts[8]!.split(',').map(Number),
      serviceMs: parts[9]!.split(',').map(Number),
    },
  };
}
