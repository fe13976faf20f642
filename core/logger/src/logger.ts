/** Fields of a log event; keys of quantities end in their unit. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/** Logger that writes one key=value line (logfmt) per event. */
export interface Logger {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}
