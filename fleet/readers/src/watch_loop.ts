import {describeError} from '@carobseam/core.errors';
import type {Logger} from '@carobseam/core.logger';
import type {Clock, RandomSource} from '@carobseam/core.types';
import {sleep} from './sleep.js';

/**
 * How a daemon uses the platform. A `reader` watches it for its data centre. A
 * `poller` reads it at intervals for itself only; it does not watch, because one
 * change would complete all pending watches of a fleet at once. An `idle` daemon
 * makes no calls.
 */
export type ReadMode = 'reader' | 'poller' | 'idle';

/** Something that a `WatchLoop` reads from the platform repeatedly. */
export interface WatchStep {
  /** Makes one read or watch; returns the delay before the next one, ms. */
  step(mode: ReadMode, signal: AbortSignal): Promise<number>;
}

/** Options of a `WatchLoop`. */
export interface WatchLoopOptions {
  name: string;
  watch: WatchStep;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  /** Average time between two reads of a poller, ms. */
  pollIntervalMs: () => number;
}

/** Repeats a step while the mode of this daemon is not `idle`. */
export class WatchLoop {
  readonly #options: WatchLoopOptions;
  #mode: ReadMode = 'idle';
  #abort = new AbortController();
  #running: Promise<void> = Promise.resolve();

  constructor(options: WatchLoopOptions) {
    this.#options = options;
  }

  /** Sets the mode; a change aborts the pending call. */
  setMode(mode: ReadMode): void {
    if (mode === this.#mode) {
      return;
    }
    this.#mode = mode;
    this.#abort.abort();
    this.#abort = new AbortController();
    if (mode !== 'idle') {
      this.#running = this.#run(mode, this.#abort.signal);
    }
  }

  async close(): Promise<void> {
    this.setMode('idle');
    await this.#running;
  }

  async #run(mode: ReadMode, signal: AbortSignal): Promise<void> {
    const {clock, random, pollIntervalMs} = this.#options;
    const jitterMs = () => random.nextFloat() * pollIntervalMs();
    if (mode === 'poller') {
      await sleep(clock, jitterMs(), signal);
    }
    while (!signal.aborted) {
      const delayMs = await this.#step(mode, signal);
      const extraMs = mode === 'poller' ? 2 * jitterMs() : 0;
      if (delayMs + extraMs > 0) {
        await sleep(clock, delayMs + extraMs, signal);
      }
    }
  }

  async #step(mode: ReadMode, signal: AbortSignal): Promise<number> {
    const {watch, logger, name} = this.#options;
    try {
      return await watch.step(mode, signal);
    } catch (error) {
      // The rate limiter delays the next call after a failure.
      if (!signal.aborted) {
        const fields = {read: name, error: describeError(error)};
        logger.warn('platform_read_failed', fields);
      }
      return 0;
    }
  }
}
