import {CarobseamError, type ErrorCode} from '@carobseam/core.errors';

/** Exit codes of every command. */
export const exitCodes = {
  done: 0,
  /** The input is good, but what was asked for did not come true. */
  notFulfilled: 1,
  badInput: 2,
} as const;

/** Exit code of a command. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

const NOT_FULFILLED: ReadonlySet<ErrorCode> = new Set<ErrorCode>([
  'ADMIN_UNREACHABLE',
  'TIMEOUT',
  'VERSION_UNCHANGED',
]);

/** Exit code of a command that ended with an error. */
export function exitCodeOf(error: unknown): ExitCode {
  const isBadInput =
    error instanceof CarobseamError && !NOT_FULFILLED.has(error.code);
  return isBadInput ? exitCodes.badInput : exitCodes.notFulfilled;
}
