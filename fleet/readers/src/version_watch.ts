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
  /** Returns why a version is refused, or undefined; counts the refusal. */
  checkVersion: (version: number, digest: Digest) => string | undefined;
  /** Passes on a version that was read, to be applied. */
  offer: (contents: VersionContents) => void;
}

const NO_MANIFEST_DELAY_MS = 1000;
const FIRST_PACK_RETRY_MS = 200;
const MAX_PACK_RETRY_MS = 5000;

/** Watches or reads the manifest on the platform, and reads the contents of each new version. */
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
    return value.index === this.#index
      ? 0
      : this.#handleManifest(value, signal);
  }

  async #handleManifest(
    value: PlatformValue,
    signal: AbortSignal,
  ): Promise<number> {
    const manifest = this.#decode(value.bytes);
    const manifestDigest = digestOf(value.bytes);
    const {checkVersion, offer, source, blackboard} = this.#options;
    // A version below the version floor is read too, because it may be accepted later.
    const refusal = manifest && checkVersion(manifest.version, manifestDigest);
    if (manifest && (!refusal || refusal === 'below_floor')) {
      const currentContents = blackboard.read('snapshot')?.contents;
      try {
        const options = {manifest, manifestDigest, currentContents, signal};
        offer(await source.fetchContents(options));
      } catch (error) {
        return this.#packRetryDelayMs(error);
      }
    }
    this.#packFailures = 0;
    // A lower index is stored too, so that a stale platform is watched and not read in a loop.
    this.#index = value.index;
    return 0;
  }

  #decode(bytes: Uint8Array): Manifest | undefined {
    try {
      return decodeManifest(bytes);
    } catch (error) {
      this.#reportUnreadable('corrupt_manifest', error);
      return undefined;
    }
  }

  /** Returns the delay before packs are read again: they may become visible after the manifest. */
  #packRetryDelayMs(error: unknown): number {
    const isInvalidPack =
      error instanceof CarobseamError && error.code === 'VERSION_INVALID';
    if (!isInvalidPack) {
      throw error;
    }
    const info = CarobseamError.info(error) as {reason?: string};
    this.#reportUnreadable(info.reason ?? 'corrupt_pack', error);
    const ceilingMs = Math.min(
      MAX_PACK_RETRY_MS,
      FIRST_PACK_RETRY_MS * 2 ** this.#packFailures++,
    );
    return ceilingMs * (0.5 + 0.5 * this.#options.random.nextFloat());
  }

  #reportUnreadable(reason: string, error: unknown): void {
    const {metrics, logger} = this.#options;
    metrics.increment('carobseam_config_versions_refused_total', {reason});
    logger.error('version_unreadable', {
      reason,
      error: describeError(error),
    });
  }
}
