import {
  createLogger,
  type LogFields,
  type Logger,
} from '@carobseam/core.logger';
import type {Clock, Timer} from '@carobseam/core.types';
import pino from 'pino';

const STANDARD_OUTPUT = 1;
const ROUTINE_LINES_PER_S = 20; // a sample of the answers; a line costs about 20 us
const IMPORTANT_LINES_PER_S = 100; // refusals and failures of a heavy second
const FLUSH_BYTES = 4096; // one system call for about 20 lines
const FLUSH_INTERVAL_MS = 1000; // an engineer who follows the log waits no longer
const MAX_PENDING_BYTES = 1024 * 1024; // dropped beyond it when nobody reads

/** Options of `BoundedLog`. */
export interface RateLimitedLogOptions {
  clock: Clock;
  base: LogFields;
  /** File descriptor to write to; standard output by default, none below 0. */
  fd?: number;
  /** Called with the number of lines that were left out. */
  onDropped: (lines: number) => void;
}

/** Structured lines on standard output: bounded in number, never blocking. */
export class RateLimitedLog {
  /** Takes every line; for changes of what the process believes. */
  readonly logger: Logger;
  readonly #options: RateLimitedLogOptions;
  readonly #destination?: ReturnType<typeof pino.destination>;
  #routineLeft = ROUTINE_LINES_PER_S;
  #importantLeft = IMPORTANT_LINES_PER_S;
  #dropped = 0;
  #timer?: Timer;

  constructor(options: RateLimitedLogOptions) {
    this.#options = options;
    const fd = options.fd ?? STANDARD_OUTPUT;
    this.#destination = fd < 0 ? undefined : this.#open(fd);
    this.logger = createLogger({
      level: 'info',
      base: options.base,
      write: line => this.#destination?.write(line),
    });
    this.#schedule();
  }

  /** Writes a line about a request that went as usual, within the bound. */
  logRoutine(event: string, fields: LogFields): void {
    if (this.#routineLeft-- > 0) {
      this.logger.info(event, fields);
    } else {
      this.#dropped++;
    }
  }

  /** Writes a line about a refusal or a failure, within a bound of its own. */
  logImportant(event: string, fields: LogFields): void {
    if (this.#importantLeft-- > 0) {
      this.logger.warn(event, fields);
    } else {
      this.#dropped++;
    }
  }

  /** Writes what is pending. */
  close(): void {
    this.#timer?.cancel();
    this.#flush();
  }

  #schedule(): void {
    this.#timer = this.#options.clock.setTimer(FLUSH_INTERVAL_MS, () => {
      this.#routineLeft = ROUTINE_LINES_PER_S;
      this.#importantLeft = IMPORTANT_LINES_PER_S;
      if (this.#dropped > 0) {
        this.logger.info('log_lines_dropped', {lines: this.#dropped});
        this.#options.onDropped(this.#dropped);
        this.#dropped = 0;
      }
      this.#flush();
      this.#schedule();
    });
  }

  #open(fd: number): ReturnType<typeof pino.destination> {
    const destination = pino.destination({
      fd,
      sync: false,
      minLength: FLUSH_BYTES,
      maxLength: MAX_PENDING_BYTES,
    });
    destination.on('drop', () => this.#dropped++);
    // A reader that has gone must not end the process.
    destination.on('error', () => this.#dropped++);
    return destination;
  }

  #flush(): void {
    this.#destination?.flush();
  }
}
