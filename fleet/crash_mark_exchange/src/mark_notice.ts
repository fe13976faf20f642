import type {CrashMark} from '@carobseam/fleet.types';

/** What one relay tells another about crash marks. */
export interface MarkNotice {
  /** New marks, or all marks in the response to a query. */
  marks: CrashMark[];
  /** Fingerprints of requests that have completed. */
  cleared: string[];
  /** Whether the receiver passes the notice on in its data centre. */
  isForDataCentre: boolean;
}

/** HTTP path of crash marks on the control address. */
export const CRASH_MARK_PATH = '/crash-marks';

const FINGERPRINT_PATTERN = /^[0-9a-f]{32}$/;
const MAX_CRASH_ID_LENGTH = 96;

/** @return undefined when the text is not a notice. */
export function decodeMarkNotice(text: string): MarkNotice | undefined {
  let notice: Partial<MarkNotice> | null;
  try {
    notice = JSON.parse(text) as Partial<MarkNotice> | null;
  } catch {
    return undefined;
  }
  const {marks, cleared, isForDataCentre} = notice ?? {};
  const isValid =
    Array.isArray(marks) &&
    marks.every(isCrashMark) &&
    Array.isArray(cleared) &&
    cleared.every(isFingerprint);
  return isValid
    ? {marks, cleared, isForDataCentre: isForDataCentre === true}
    : undefined;
}

function isFingerprint(value: unknown): boolean {
  return typeof value === 'string' && FINGERPRINT_PATTERN.test(value);
}

function isCrashId(value: unknown): boolean {
  return typeof value === 'string' && value.length <= MAX_CRASH_ID_LENGTH;
}

function isCrashMark(value: unknown): boolean {
  const {fingerprint, crashId, afterCrashId, remainingMs} = (value ??
    {}) as Record<string, unknown>;
  return (
    isFingerprint(fingerprint) &&
    isCrashId(crashId) &&
    (afterCrashId === undefined || isCrashId(afterCrashId)) &&
    typeof remainingMs === 'number' &&
    remainingMs >= 0
  );
}
