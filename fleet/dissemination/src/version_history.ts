import {buildDelta, encodeDelta} from '@carobseam/config.codec';
import type {VersionContents} from '@carobseam/config.types';
import type {Digest} from '@carobseam/core.types';
import type {FleetAuthenticator} from '@carobseam/fleet.link';

/** Authenticates deltas. */
export type PayloadAuthenticator = Pick<
  FleetAuthenticator,
  'verifyPayload' | 'signPayload' | 'signingKeyId'
>;

/** Options of a `VersionHistory`. */
export interface VersionHistoryOptions {
  authenticator: PayloadAuthenticator;
  /** Whether deltas carry the resources of presets that are not active. */
  allPresets: boolean;
}

/** An encoded delta to the newest version. */
export interface EncodedDelta {
  readonly bytes: Uint8Array;
  /** Whether it carries the full version. */
  readonly isFull: boolean;
}

/**
 * Versions to which deltas can start. Resources are shared between versions,
 * so one more costs about its manifest.
 */
const MAX_VERSIONS = 8;

/** The newest version, recent ones, and the deltas between them. */
export class VersionHistory {
  readonly #options: VersionHistoryOptions;
  readonly #versions = new Map<Digest, VersionContents>();
  readonly #encoded = new Map<string, EncodedDelta>();
  #newest?: VersionContents;
  #firstReadWallMs = 0;

  constructor(options: VersionHistoryOptions) {
    this.#options = options;
  }

  /** Adds a version that became the active one. */
  addVersion(contents: VersionContents, firstReadWallMs: number): void {
    this.#newest = contents;
    this.#firstReadWallMs = firstReadWallMs;
    this.#versions.set(contents.manifestDigest, contents);
    this.#encoded.clear();
    for (const digest of this.#versions.keys()) {
      if (this.#versions.size <= MAX_VERSIONS) {
        break;
      }
      this.#versions.delete(digest);
    }
  }

  /**
   * The sealed delta to the newest version, encoded once for each base.
   *
   * @param baseDigest version that the receiver holds; an unknown one gives
   *     the full version.
   */
  encodeDelta(baseDigest?: Digest): EncodedDelta | undefined {
    if (!this.#newest) {
      return undefined;
    }
    const base = baseDigest && this.#versions.get(baseDigest);
    const {signingKeyId} = this.#options.authenticator;
    const key = `${signingKeyId} ${base?.manifestDigest ?? 'full'}`;
    const existing = this.#encoded.get(key);
    if (existing) {
      return existing;
    }
    const encoded = this.#encode(this.#newest, base || undefined);
    this.#encoded.set(key, encoded);
    return encoded;
  }

  #encode(target: VersionContents, base?: VersionContents): EncodedDelta {
    const {authenticator: sealer, allPresets} = this.#options;
    const delta = buildDelta({
      base,
      target,
      allPresets,
      firstReadWallMs: this.#firstReadWallMs,
    });
    const bytes = sealer.signPayload('delta', encodeDelta(delta, base));
    return {bytes, isFull: base === undefined};
  }
}
