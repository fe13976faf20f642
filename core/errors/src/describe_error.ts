import {CarobseamError} from './carobseam_error.js';

/** Formats an error as one line: code, message and hint. */
export function describeError(error: unknown): string {
  if (error instanceof CarobseamError) {
    return `${error.code}: ${error.message}; ${error.hint}`;
  }
  return error instanceof Error ? error.message : String(error);
}
