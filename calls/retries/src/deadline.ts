import {MAX_CALL_DEPTH} from '@carobseam/calls.types';

const INTEGER_PATTERN = /^\d{1,9}$/;
/** Largest time that the next daemon gets less than this one, ms. */
const MAX_MARGIN_MS = 20;
const MARGIN_SHARE = 0.05;

/**
 * Parses the header of a time or a depth.
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
 * The time that is passed on. It is a little shorter than the remaining time,
 * so that a typed refusal of the next daemon arrives before the own time-out.
 */
export function forwardedDeadlineMs(remainingMs: number): number {
  const marginMs = Math.min(MAX_MARGIN_MS, remainingMs * MARGIN_SHARE);
  return Math.max(1, Math.floor(remainingMs - marginMs));
}

/** Whether a call that passed this many services may enter another one. */
export function isDepthAllowed(depth: number): boolean {
  return depth < MAX_CALL_DEPTH;
}
