import {MAX_CALL_DEPTH} from '@carobseam/calls.types';

const INTEGER_PATTERN = /^\d{1,9}$/;
const MAX_MARGIN_MS = 20; // maximum by which a forwarded deadline is shortened
const MARGIN_SHARE = 0.05; // of the remaining time

/**
 * Parses the value of a deadline or depth header.
 *
 * @returns undefined without a header, NaN when it is malformed.
 */
export function parseIntegerHeader(value: unknown): number | undefined {
  if (value === undefined) {
    return undefined;
  }
  const isInteger = typeof value === 'string' && INTEGER_PATTERN.test(value);
  return isInteger ? Number(value) : NaN;
}

/**
 * Computes the deadline that is forwarded with a call. It is a little shorter
 * than the remaining time, so that a refusal of the next daemon, which names its
 * reason, arrives before the timeout of this daemon.
 */
export function forwardedDeadlineMs(remainingMs: number): number {
  const marginMs = Math.min(MAX_MARGIN_MS, remainingMs * MARGIN_SHARE);
  return Math.max(1, Math.floor(remainingMs - marginMs));
}

/**
 * Whether a call that has passed through `depth` services may be sent to
 * another one.
 */
export function isDepthAllowed(depth: number): boolean {
  return depth < MAX_CALL_DEPTH;
}
