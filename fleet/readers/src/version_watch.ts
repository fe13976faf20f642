import {decodeManifest, digestOf} from '@carobseam/config.codec';
import {
  manifestKey,
  type Manifest,
  type VersionContents,
} from '@carobseam/config.types';
import type {DaemonBlackboard} from '@carobseam/core.blackboard';
import {CarobseamError, describeError} from '@carobseam/core.errors';
import type {Logger} from '@carobseam/core.logger';
import type {Metrics} from '@carobseam/core.metrics';
import type {Digest, RandomSource} from '@carobseam/core.types';
import type {PlatformValue} from '@carobseam/config.published_reader';
import type {RateLimitedPlatform} from './rate_limited_platform.js';
import type {PlatformVersionSource} from './platform_version_source.js';
import type {ReadMode, WatchStep} from './watch_loop.js';

/** Options of a `VersionWatch`. */
export interface VersionWatchOptions {
  platform: RateLimitedPlatform;
  source: PlatformVersionSource;
  keyPrefix: string;
  watchWaitMs: number;
  blackboard: DaemonBlackboard;
  random: RandomSource;
  metrics: Metrics;
  logger: Logger;
  /** Why a version need not be read; counts the refusal. */
  checkVersion: (version: number, digest: Digest) => string | undefined;
  /** Passes on a version that was read. */
  offer: (contents: VersionContents) => void;
}

const NO_MANIFEST_DELAY_MS = 1000;
const FIRST_PACK_DELAY_MS = 200;
const MAX_PACK_DELAY_MS = 5000;

/** Reads each version that is published. */
export class VersionWatch implements WatchStep {
  readonly #options: VersionWatchOptions;
  #index?: number;
  #packFailures = 0;

  constructor(options: VersionWatchOptions) {
    this.#options = options;
  }

  async step(mode: ReadMode, signal: AbortSignal): Promise<number> {
    const {platform, keyPrefix, watchWaitMs} = this.#options;
    const key = manifestKey(keyPrefix);
    const value =
      mode === 'reader'
        ? await platform.watch(key, {
            afterIndex: this.#index,
            waitMs: this.#index === undefined ? 0 : watchWaitMs,
            signal,
          })
        : await platform.read(key, {signal});
    if (!value) {
      return NO_MANIFEST_DELAY_MS;
    }
    return value.index === this.#index ? 0 : this.#take(value, signal);
  }

  async #take(value: PlatformValue, signal: AbortSignal): Promise<number> {
    const manifest = this.#decode(value.bytes);
    const manifestDigest = digestOf(value.bytes);
    const {checkVersion: refuse, offer, source, blackboard} = this.#options;
    // A version below the floor is read, because it may be allowed later.
    const refusal = manifest && refuse(manifest.version, manifestDigest);
    if (manifest && (!refusal || refusal === 'below_floor')) {
      const held = blackboard.read('snapshot')?.contents;
      try {
        const options = {manifest, manifestDigest, held, signal};
        offer(await source.fetchContents(options));
      } catch (error) {
        return this.#packDelay(error);
      }
    }
    this.#packFailures = 0;
    // Also a lower index is taken: a stale platform is then watched, not polled.
    this.#index = value.index;
    return 0;
  }

  #decode(bytes: Uint8Array): Manifest | undefined {
    try {
      return decodeManifest(bytes);
    } catch (error) {
      this.#report('corrupt_manifest', error);
      return undefined;
    }
  }

  /** Packs may become visible after the manifest, so they are read again. */
  #packDelay(error: unknown): number {
    const isPack =
      error instanceof CarobseamError && error.code === 'VERSION_INVALID';
    if (!isPack) {
      throw error;
    }
    const info = CarobseamError.info(error) as {reason?: string};
    this.#report(info.reason ?? 'corrupt_pack', error);
    const ceilingMs = Math.min(
      MAX_PACK_DELAY_MS,
      FIRST_PACK_DELAY_MS * 2 ** this.#packFailures++,
    );
    return ceilingMs * (0.5 + 0.5 * this.#options.random.nextFloat());
  }

  #report(reason: string, error: unknown): void {
    const {metrics, logger} = this.#options;
    metrics.increment('carobseam_config_versions_refused_total', {reason});
    logger.error('version_unreadable', {
      reason,
      error: describeError(error),
    });
  }
}
