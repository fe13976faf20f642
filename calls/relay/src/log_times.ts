import type {GateResult} from './gate_request.js';

/** Rounds a time that may be unknown, for the log. */
export function roundMs(timeMs: number | undefined): number | undefined {
  return timeMs === undefined ? undefined : Math.round(timeMs);
}

/** Returns the log fields that say how long a request waited and ran. */
export function gateTimes(result: GateResult): {
  waitedMs: number | undefined;
  ranMs: number | undefined;
} {
  return {waitedMs: roundMs(result.waitedMs), ranMs: roundMs(result.ranMs)};
}
