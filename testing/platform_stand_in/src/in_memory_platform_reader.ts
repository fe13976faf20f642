import {CarobseamError} from '@carobseam/core.errors';
import type {
  PlatformReader,
  PlatformValue,
  VmList,
  WatchOptions,
} from '@carobseam/config.published_reader';
import type {InMemoryPlatform} from './in_memory_platform.js';

const DEFAULT_WAIT_MS = 30_000;

/** Reads a `PlatformState` without a network, for tests. */
export class InMemoryPlatformReader implements PlatformReader {
  readonly #state: InMemoryPlatform;
  readonly #isReachable: () => boolean;

  /** @param isReachable tells whether the reader is connected. */
  constructor(
    state: InMemoryPlatform,
    isReachable: () => boolean = () => true,
  ) {
    this.#state = state;
    this.#isReachable = isReachable;
  }

  async read(key: string): Promise<PlatformValue | undefined> {
    this.#admit();
    return this.#state.get(key);
  }

  async watch(
    key: string,
    options: WatchOptions,
  ): Promise<PlatformValue | undefined> {
    this.#admit();
    const {afterIndex} = options;
    if (afterIndex !== undefined) {
      const waitMs = options.waitMs ?? DEFAULT_WAIT_MS;
      await this.#state.waitForChange(key, afterIndex, waitMs);
      this.#requireConnection();
    }
    return this.#state.get(key);
  }

  async listVms(options: WatchOptions): Promise<VmList> {
    this.#admit();
    const {afterIndex} = options;
    if (afterIndex !== undefined) {
      const waitMs = options.waitMs ?? DEFAULT_WAIT_MS;
      await this.#state.waitForVms(afterIndex, waitMs);
      this.#requireConnection();
    }
    return this.#state.listVms();
  }

  async close(): Promise<void> {}

  #admit(): void {
    if (!this.#isReachable()) {
      throw unavailable();
    }
    const admission = this.#state.admit();
    if (admission === 'down') {
      throw unavailable();
    }
    if (admission === 'limited') {
      throw new CarobseamError({
        code: 'PLATFORM_LIMITED',
        message: 'platform refused the call because of its rate limit',
        hint: 'the call is repeated later',
        info: {retryAfterMs: 1000},
      });
    }
  }

  #requireConnection(): void {
    if (!this.#isReachable() || this.#state.isDown()) {
      throw unavailable();
    }
  }
}

function unavailable(): CarobseamError {
  return new CarobseamError({
    code: 'PLATFORM_UNAVAILABLE',
    message: 'platform does not respond',
    hint: 'check the platform',
  });
}
