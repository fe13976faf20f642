import {SeededRandom, SystemClock} from '@carobseam/core.clock';
import {describeError} from '@carobseam/core.errors';
import type {Logger} from '@carobseam/core.logger';
import {Metrics} from '@carobseam/core.metrics';
import type {DaemonSettings} from '@carobseam/core.settings';
import type {Controller} from '@carobseam/core.types';
import {decodeManifest, digestOf} from '@carobseam/config.codec';
import {manifestKey} from '@carobseam/config.types';
import {createSnapshot, type ConfigSnapshot} from '@carobseam/config.snapshot';
import {
  RateLimitedPlatform,
  CallRateLimiter,
  PlatformVersionSource,
} from '@carobseam/fleet.readers';
import {HttpPlatformReader} from '@carobseam/config.published_reader';

/** Options of a `BaselineWatcher`. */
export interface BaselineWatcherOptions {
  settings: DaemonSettings;
  logger: Logger;
  seed: number;
}

/**
 * The baseline of the benches: watches the platform itself, within its equal
 * share of the call limit, and talks to no peer.
 */
export class BaselineWatcher implements Controller {
  readonly #options: BaselineWatcherOptions;
  readonly #clock = new SystemClock();
  readonly #reader: HttpPlatformReader;
  readonly #platform: RateLimitedPlatform;
  readonly #source: PlatformVersionSource;
  readonly #abort = new AbortController();
  #snapshot?: ConfigSnapshot;
  #index?: number;

  constructor(options: BaselineWatcherOptions) {
    this.#options = options;
    const {platform, fleetSizeHint} = options.settings;
    this.#reader = new HttpPlatformReader({
      url: platform.url,
      timeoutMs: platform.timeoutMs,
      metrics: new Metrics(),
    });
    const budget = new CallRateLimiter({
      clock: this.#clock,
      random: new SeededRandom(options.seed),
      callsPerSecond: platform.fleetCallsPerSecond / fleetSizeHint,
      burst: 3,
    });
    this.#platform = new RateLimitedPlatform({
      reader: this.#reader,
      rateLimiter: budget,
      clock: this.#clock,
      timeoutMs: platform.timeoutMs,
    });
    this.#source = new PlatformVersionSource({
      platform: this.#platform,
      keyPrefix: platform.keyPrefix,
    });
  }

  async start(): Promise<void> {
    void this.#run();
    this.#options.logger.info('daemon_started');
  }

  async close(): Promise<void> {
    this.#abort.abort();
    await this.#reader.close();
  }

  async #run(): Promise<void> {
    while (!this.#abort.signal.aborted) {
      try {
        await this.#readOnce();
      } catch (error) {
        this.#options.logger.debug('read_failed', {
          error: describeError(error),
        });
      }
    }
  }

  async #readOnce(): Promise<void> {
    const {keyPrefix, watchWaitMs} = this.#options.settings.platform;
    const {signal} = this.#abort;
    const value = await this.#platform.watch(manifestKey(keyPrefix), {
      afterIndex: this.#index,
      waitMs: this.#index === undefined ? 0 : watchWaitMs,
      signal,
    });
    if (!value || value.index === this.#index) {
      return;
    }
    const contents = await this.#source.fetchContents({
      manifest: decodeManifest(value.bytes),
      manifestDigest: digestOf(value.bytes),
      currentContents: this.#snapshot?.contents,
      signal,
    });
    const result = createSnapshot(contents, this.#snapshot);
    if (result.valid) {
      this.#snapshot = result.snapshot;
      this.#index = value.index;
      const {version} = result.snapshot;
      this.#options.logger.info('version_applied', {version});
    }
  }
}
