import {buildDelta, encodeDelta} from '@carobseam/config.codec';
import type {VersionContents} from '@carobseam/config.types';
import type {Digest} from '@carobseam/core.types';
import type {FleetAuthenticator} from '@carobseam/fleet.link';

/** Signs and verifies payloads that peers forward, such as deltas. */
export type PayloadAuthenticator = Pick<
  FleetAuthenticator,
  'verifyPayload' | 'signPayload' | 'signingKeyId'
>;

/** Options of a `VersionHistory`. */
export interface VersionHistoryOptions {
  authenticator: PayloadAuthenticator;
  /** Whether deltas include the resources of presets that are not active. */
  allPresets: boolean;
}

/** An encoded and signed delta to the newest version. */
export interface EncodedDelta {
  readonly bytes: Uint8Array;
  /** Whether it contains the full version and needs no base. */
  readonly isFull: boolean;
}

/**
 * Versions kept as bases of deltas. Versions share resources in memory, so each
 * one costs little more than its manifest.
 */
const MAX_VERSIONS = 8;

/** Keeps the newest versions and encodes deltas from them to the newest one. */
export class VersionHistory {
  readonly #options: VersionHistoryOptions;
  readonly #versions = new Map<Digest, VersionContents>();
  readonly #encodedDeltas = new Map<string, EncodedDelta>();
  #newest?: VersionContents;
  #firstReadWallMs = 0;

  constructor(options: VersionHistoryOptions) {
    this.#options = options;
  }

  /** Adds a version that has become the active one. */
  addVersion(contents: VersionContents, firstReadWallMs: number): void {
    this.#newest = contents;
    this.#firstReadWallMs = firstReadWallMs;
    this.#versions.set(contents.manifestDigest, contents);
    this.#encodedDeltas.clear();
    for (const digest of this.#versions.keys()) {
      if (this.#versions.size <= MAX_VERSIONS) {
        break;
      }
      this.#versions.delete(digest);
    }
  }

  /**
   * Returns the signed delta to the newest version, encoded once for each base.
   *
   * @param baseDigest version that the receiver holds. If it is not in the
   *     history, the delta contains the full version.
   */
  encodeDelta(baseDigest?: Digest): EncodedDelta | undefined {
    if (!this.#newest) {
      return undefined;
    }
    const base = baseDigest && this.#versions.get(baseDigest);
    const {signingKeyId} = this.#options.authenticator;
    const key = `${signingKeyId} ${base?.manifestDigest ?? 'full'}`;
    const cachedDelta = this.#encodedDeltas.get(key);
    if (cachedDelta) {
      return cachedDelta;
    }
    const encoded = this.#createDelta(this.#newest, base || undefined);
    this.#encodedDeltas.set(key, encoded);
    return encoded;
  }

  #createDelta(target: VersionContents, base?: VersionContents): EncodedDelta {
    const {authenticator, allPresets} = this.#options;
    const delta = buildDelta({
      base,
      target,
      allPresets,
      firstReadWallMs: this.#firstReadWallMs,
    });
    const bytes = authenticator.signPayload('delta', encodeDelta(delta, base));
    return {bytes, isFull: base === undefined};
  }
}
