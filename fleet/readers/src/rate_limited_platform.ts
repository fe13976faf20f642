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

/** Options of a `RateLimitedPlatform`. */
export interface RateLimitedPlatformOptions {
  reader: PlatformReader;
  rateLimiter: CallRateLimiter;
  clock: Clock;
  /** Time limit of a call in addition to the wait that it requests, ms. */
  timeoutMs: number;
}

/** Options of a call; the signal aborts it. */
export type RateLimitedCallOptions = WatchOptions & {signal: AbortSignal};

/** The HTTP client has the same time limit, and its timeout should occur first. */
const TIMEOUT_MARGIN_MS = 500;

/** Calls the platform within the rate limit and with a time limit for each call. */
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
    const {rateLimiter} = this.#options;
    await this.#waitForToken(options.signal);
    try {
      const result = await this.#runWithTimeout(options, run);
      rateLimiter.recordSuccess();
      return result;
    } catch (error) {
      if (!options.signal.aborted) {
        rateLimiter.recordFailure(readRetryAfterMs(error));
      }
      throw error;
    }
  }

  async #waitForToken(signal: AbortSignal): Promise<void> {
    const {rateLimiter, clock} = this.#options;
    while (!signal.aborted) {
      const waitMs = rateLimiter.takeToken();
      if (waitMs === 0) {
        return;
      }
      await sleep(clock, waitMs, signal);
    }
    throw unavailableError('the call was aborted');
  }

  async #runWithTimeout<Result>(
    {signal, waitMs = 0}: RateLimitedCallOptions,
    run: (signal: AbortSignal) => Promise<Result>,
  ): Promise<Result> {
    const {clock, timeoutMs} = this.#options;
    const abort = new AbortController();
    let fail!: () => void;
    const timedOutOrAborted = new Promise<never>((_, reject) => {
      fail = () => {
        abort.abort();
        reject(unavailableError('platform does not respond'));
      };
    });
    const limitMs = waitMs + timeoutMs + TIMEOUT_MARGIN_MS;
    const timer = clock.setTimer(limitMs, fail);
    signal.addEventListener('abort', fail, {once: true});
    try {
      return await Promise.race([run(abort.signal), timedOutOrAborted]);
    } finally {
      timer.cancel();
      signal.removeEventListener('abort', fail);
    }
  }
}

function unavailableError(message: string): CarobseamError {
  return new CarobseamError({
    code: 'PLATFORM_UNAVAILABLE',
    message,
    hint: 'check the platform and platform.url in the settings',
  });
}

function readRetryAfterMs(error: unknown): number {
  if (!(error instanceof CarobseamError)) {
    return 0;
  }
  const info = CarobseamError.info(error) as {retryAfterMs?: number};
  return info.retryAfterMs ?? 0;
}
