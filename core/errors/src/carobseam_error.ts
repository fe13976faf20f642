import VError from 'verror';

/** Stable codes of all errors, grouped by domain. */
export type ErrorCode =
  | 'SETTINGS_INVALID'
  | 'SETTINGS_UNREADABLE'
  | 'ARGUMENT_INVALID'
  | 'DECLARATION_INVALID'
  | 'VERSION_INVALID'
  | 'VERSION_UNCHANGED'
  | 'CODEC_INVALID'
  | 'PLATFORM_UNAVAILABLE'
  | 'PLATFORM_LIMITED'
  | 'PLATFORM_INVALID'
  | 'LINK_FAILED'
  | 'LINK_BUSY'
  | 'MESSAGE_INVALID'
  | 'LISTEN_FAILED'
  | 'LOG_UNREADABLE'
  | 'ADMIN_UNREACHABLE'
  | 'TIMEOUT';

/** Options of a `CarobseamError`. */
export interface CarobseamErrorOptions {
  code: ErrorCode;
  message: string;
  /** How to resolve the error. */
  hint: string;
  cause?: unknown;
  info?: Record<string, unknown>;
}

/** An error with a stable code and a hint how to resolve it. */
export class CarobseamError extends VError {
  readonly code: ErrorCode;
  readonly hint: string;

  constructor(options: CarobseamErrorOptions) {
    const cause = options.cause instanceof Error ? options.cause : undefined;
    super(
      {name: options.code, cause, info: options.info},
      '%s',
      options.message,
    );
    this.code = options.code;
    this.hint = options.hint;
  }
}
