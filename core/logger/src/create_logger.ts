import logfmt from 'logfmt';
import pino from 'pino';
import type {LogFields, Logger} from './logger.js';

/** Options of `createLogger`. */
export interface LoggerOptions {
  /** Lowest level that is written. */
  level: 'debug' | 'info' | 'warn' | 'error';
  /** Fields that are part of every line. */
  base?: LogFields;
  /** Receives each line including its newline; standard error by default. */
  write?: (line: string) => void;
}

/** Creates a pino logger that writes key=value lines. */
export function createLogger(options: LoggerOptions): Logger {
  const write = options.write ?? (line => process.stderr.write(line));
  const destination = {write: (line: string) => write(toLogfmtLine(line))};
  const logger = pino(
    {
      level: options.level,
      base: options.base ?? {},
      messageKey: 'event',
      timestamp: pino.stdTimeFunctions.isoTime,
      formatters: {level: label => ({level: label})},
    },
    destination,
  );
  return {
    debug: (event, fields) => logger.debug(fields ?? {}, event),
    info: (event, fields) => logger.info(fields ?? {}, event),
    warn: (event, fields) => logger.warn(fields ?? {}, event),
    error: (event, fields) => logger.error(fields ?? {}, event),
  };
}

// The pino-logfmt transport would need a worker thread of about 10 MB in each
// daemon, so its formatting library is called in the main thread.
function toLogfmtLine(line: string): string {
  const {level, time, event, ...fields} = JSON.parse(line);
  return `${logfmt.stringify({time, level, event, ...fields})}\n`;
}
