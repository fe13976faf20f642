import type {Clock} from '@carobseam/core.types';
import {diffConfigs, type ConfigDelta} from './config_delta.js';
import type {MeshUpdate} from './mesh_changes.js';
import type {MeshConfig} from './mesh_config.js';

const MAX_RECENT_CONFIGS = 16; // the changes of one second when the users' operators publish at their fastest

/** The newest version of the configuration, and recent ones for deltas to peers. */
export class ConfigHistory {
  readonly #clock: Clock;
  readonly #recent: MeshConfig[] = [];
  /** Deltas to the newest version, by the version from which they start. */
  readonly #deltas = new Map<number, ConfigDelta>();
  #newest?: MeshConfig;
  /** Monotonic time at which `#newest` was first received from the source, in ms. */
  #receivedMs = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get newest(): MeshConfig | undefined {
    return this.#newest;
  }

  /** Time since the newest version was first received from the source, in ms. */
  get ageMs(): number {
    return Math.round(this.#clock.monotonicMs() - this.#receivedMs);
  }

  /**
   * Makes a version the newest, unless it is older.
   *
   * @param ageMs time since it was first received from the source, in ms.
   * @return whether the version is the newest now.
   */
  accept(config: MeshConfig, ageMs: number): boolean {
    if (config.version <= (this.#newest?.version ?? 0)) {
      return false;
    }
    this.#newest = config;
    this.#receivedMs = this.#clock.monotonicMs() - ageMs;
    this.#deltas.clear();
    this.addIntermediate(config);
    return true;
  }

  /** Adds a version from which deltas to peers may start. */
  addIntermediate(config: MeshConfig): void {
    this.#recent.push(config);
    if (this.#recent.length > MAX_RECENT_CONFIGS) {
      this.#recent.shift();
    }
  }

  /**
   * Returns what a peer with another version lacks.
   *
   * @param acceptsWhole whether the peer accepts a full configuration.
   */
  updateSince(
    version: number,
    acceptsWhole: boolean,
  ): Pick<MeshUpdate, 'config' | 'configDelta' | 'lacksVersion'> {
    const config = this.#newest;
    if (!config || config.version <= version) {
      return {lacksVersion: false};
    }
    const peerConfig = this.#recent.find(recent => recent.version === version);
    if (!peerConfig) {
      return acceptsWhole
        ? {config, lacksVersion: false}
        : {lacksVersion: true};
    }
    const configDelta =
      this.#deltas.get(version) ?? diffConfigs(peerConfig, config);
    this.#deltas.set(version, configDelta);
    return {configDelta, lacksVersion: false};
  }
}
