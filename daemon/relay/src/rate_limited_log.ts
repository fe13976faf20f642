import {
  createLogger,
  type LogFields,
  type Logger,
} from '@carobseam/core.logger';
import type {Clock, Timer} from '@carobseam/core.types';
import pino from 'pino';

const STANDARD_OUTPUT = 1;
const ROUTINE_LINES_PER_S = 20; // a sample of the successful requests; writing one line takes about 20 us
const IMPORTANT_LINES_PER_S = 100; // covers the refusals and failures in a second of heavy load
const FLUSH_THRESHOLD_BYTES = 4096; // one write call for about 20 lines
const FLUSH_INTERVAL_MS = 1000; // the longest delay until a line is visible in the log
const MAX_PENDING_BYTES = 1024 * 1024; // further lines are dropped when the output is not read

/** Options of `RateLimitedLog`. */
export interface RateLimitedLogOptions {
  clock: Clock;
  /** Fields that are part of every line. */
  base: LogFields;
  /** File descriptor; standard output by default, no output if negative. */
  fd?: number;
  /** Called once per second with the number of dropped lines, if any. */
  onDropped: (lines: number) => void;
}

/**
 * Writes structured log lines to standard output. It limits the number of lines
 * per second and drops lines rather than block when the output is not read.
 */
export class RateLimitedLog {
  /** Logger without a rate limit, for rare events such as state changes. */
  readonly logger: Logger;
  readonly #options: RateLimitedLogOptions;
  readonly #destination?: ReturnType<typeof pino.destination>;
  #routineLinesLeft = ROUTINE_LINES_PER_S;
  #importantLinesLeft = IMPORTANT_LINES_PER_S;
  #droppedLines = 0;
  #flushTimer?: Timer;

  constructor(options: RateLimitedLogOptions) {
    this.#options = options;
    const fd = options.fd ?? STANDARD_OUTPUT;
    this.#destination = fd < 0 ? undefined : this.#openDestination(fd);
    this.logger = createLogger({
      level: 'info',
      base: options.base,
      write: line => this.#destination?.write(line),
    });
    this.#scheduleFlush();
  }

  /** Logs an event of a successful request, subject to a rate limit. */
  logRoutine(event: string, fields: LogFields): void {
    if (this.#routineLinesLeft-- > 0) {
      this.logger.info(event, fields);
    } else {
      this.#droppedLines++;
    }
  }

  /** Logs a refusal or a failure, subject to a separate, higher rate limit. */
  logImportant(event: string, fields: LogFields): void {
    if (this.#importantLinesLeft-- > 0) {
      this.logger.warn(event, fields);
    } else {
      this.#droppedLines++;
    }
  }

  /** Flushes the buffered lines and stops the flush timer. */
  close(): void {
    this.#flushTimer?.cancel();
    this.#flush();
  }

  #scheduleFlush(): void {
    this.#flushTimer = this.#options.clock.setTimer(FLUSH_INTERVAL_MS, () => {
      this.#routineLinesLeft = ROUTINE_LINES_PER_S;
      this.#importantLinesLeft = IMPORTANT_LINES_PER_S;
      if (this.#droppedLines > 0) {
        this.logger.info('log_lines_dropped', {lines: this.#droppedLines});
        this.#options.onDropped(this.#droppedLines);
        this.#droppedLines = 0;
      }
      this.#flush();
      this.#scheduleFlush();
    });
  }

  #openDestination(fd: number): ReturnType<typeof pino.destination> {
    const destination = pino.destination({
      fd,
      sync: false,
      minLength: FLUSH_THRESHOLD_BYTES,
      maxLength: MAX_PENDING_BYTES,
    });
    destination.on('drop', () => this.#droppedLines++);
    // A closed output, such as a broken pipe, must not end the process.
    destination.on('error', () => this.#droppedLines++);
    return destination;
  }

  #flush(): void {
    this.#destination?.flush();
  }
}
