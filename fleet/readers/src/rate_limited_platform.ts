import {CarobseamError} from '@carobseam/core.errors';
import type {Clock} from '@carobseam/core.types';
import type {
  PlatformReader,
  PlatformValue,
  VmList,
  WatchOptions,
} from '@carobseam/config.published_reader';
import type {CallRateLimiter} from './call_rate_limiter.js';
import {sleep} from './sleep.js';

/** Options of a `BudgetedPlatform`. */
export interface RateLimitedPlatformOptions {
  reader: PlatformReader;
  rateLimiter: CallRateLimiter;
  clock: Clock;
  /** Longest time of a call beyond its wait, ms. */
  timeoutMs: number;
}

/** Options of a call; each can be aborted. */
export type RateLimitedCallOptions = WatchOptions & {signal: AbortSignal};

/** The HTTP client has the same time limit, which should strike first. */
const TIMEOUT_MARGIN_MS = 500;

/** Makes calls to the platform within the budget, each with a time limit. */
export class RateLimitedPlatform {
  readonly #options: RateLimitedPlatformOptions;

  constructor(options: RateLimitedPlatformOptions) {
    this.#options = options;
  }

  read(
    key: string,
    options: RateLimitedCallOptions,
  ): Promise<PlatformValue | undefined> {
    const {reader} = this.#options;
    return this.#call(options, signal => reader.read(key, {signal}));
  }

  watch(
    key: string,
    options: RateLimitedCallOptions,
  ): Promise<PlatformValue | undefined> {
    const {reader} = this.#options;
    return this.#call(options, signal =>
      reader.watch(key, {...options, signal}),
    );
  }

  listVms(options: RateLimitedCallOptions): Promise<VmList> {
    const {reader} = this.#options;
    return this.#call(options, signal => reader.listVms({...options, signal}));
  }

  async #call<Result>(
    options: RateLimitedCallOptions,
    run: (signal: AbortSignal) => Promise<Result>,
  ): Promise<Result> {
    const {rateLimiter: budget} = this.#options;
    await this.#admit(options.signal);
    try {
      const result = await this.#runWithTimeout(options, run);
      budget.recordSuccess();
      return result;
    } catch (error) {
      if (!options.signal.aborted) {
        budget.recordFailure(retryAfterOf(error));
      }
      throw error;
    }
  }

  async #admit(signal: AbortSignal): Promise<void> {
    const {rateLimiter: budget, clock} = this.#options;
    while (!signal.aborted) {
      const waitMs = budget.takeToken();
      if (waitMs === 0) {
        return;
      }
      await sleep(clock, waitMs, signal);
    }
    throw unavailable('the call was ended');
  }

  async #runWithTimeout<Result>(
    {signal, waitMs = 0}: RateLimitedCallOptions,
    run: (signal: AbortSignal) => Promise<Result>,
  ): Promise<Result> {
    const {clock, timeoutMs} = this.#options;
    const abort = new AbortController();
    let end!: () => void;
    const ended = new Promise<never>((_, reject) => {
      end = () => {
        abort.abort();
        reject(unavailable('platform does not respond'));
      };
    });
    const limitMs = waitMs + timeoutMs + TIMEOUT_MARGIN_MS;
    const timer = clock.setTimer(limitMs, end);
    signal.addEventListener('abort', end, {once: true});
    try {
      return await Promise.race([run(abort.signal), ended]);
    } finally {
      timer.cancel();
      signal.removeEventListener('abort', end);
    }
  }
}

function unavailable(message: string): CarobseamError {
  return new CarobseamError({
    code: 'PLATFORM_UNAVAILABLE',
    message,
    hint: 'check the platform and platform.url in the settings',
  });
}

function retryAfterOf(error: unknown): number {
  if (!(error instanceof CarobseamError)) {
    return 0;
  }
  const info = CarobseamError.info(error) as {retryAfterMs?: number};
  return info.retryAfterMs ?? 0;
}
