import {CarobseamError} from '@carobseam/core.errors';
import type {Digest, ResourceId} from '@carobseam/core.types';
import {
  allResourceDigests,
  packKey,
  type Manifest,
  type VersionContents,
} from '@carobseam/config.types';
import {decodePack, digestOf, packIndexOf} from '@carobseam/config.codec';
import type {RateLimitedPlatform} from './rate_limited_platform.js';

/** Options of a `PlatformVersionSource`. */
export interface PlatformVersionSourceOptions {
  platform: RateLimitedPlatform;
  keyPrefix: string;
}

/** Options of `PlatformVersionSource.fetchContents`. */
export interface FetchContentsOptions {
  manifest: Manifest;
  manifestDigest: Digest;
  /** Version whose resources are reused. */
  currentContents?: VersionContents;
  signal: AbortSignal;
}

type Blobs = Map<Digest, Uint8Array>;

/** Reads the packs that a manifest needs. */
export class PlatformVersionSource {
  readonly #options: PlatformVersionSourceOptions;
  /** What was read of a version whose other packs were not there yet. */
  #partial?: {manifestDigest: Digest; blobs: Blobs};

  constructor(options: PlatformVersionSourceOptions) {
    this.#options = options;
  }

  /**
   * Reads what a manifest names, reusing resources that are held.
   *
   * @throws CarobseamError `VERSION_INVALID` when a pack is missing or corrupt;
   *     its info has the `reason`. Packs that were read are kept.
   */
  async fetchContents(options: FetchContentsOptions): Promise<VersionContents> {
    const {manifest, manifestDigest, currentContents: held, signal} = options;
    const blobs = this.#blobsOf(manifestDigest);
    for (const digest of allResourceDigests(manifest)) {
      const blob = held?.blobs.get(digest);
      if (blob) {
        blobs.set(digest, blob);
      }
    }
    for (const packDigest of packsToRead(manifest, blobs)) {
      const pack = await this.#readPack(packDigest, signal);
      pack.forEach((blob, digest) => blobs.set(digest, blob));
    }
    this.#partial = undefined;
    return {manifest, manifestDigest, blobs};
  }

  #blobsOf(manifestDigest: Digest): Blobs {
    if (this.#partial?.manifestDigest !== manifestDigest) {
      this.#partial = {manifestDigest, blobs: new Map()};
    }
    return this.#partial.blobs;
  }

  async #readPack(digest: Digest, signal: AbortSignal): Promise<Blobs> {
    const {platform, keyPrefix} = this.#options;
    const value = await platform.read(packKey(keyPrefix, digest), {signal});
    if (!value) {
      throw invalidPack(digest, 'missing_pack');
    }
    if (digestOf(value.bytes) !== digest) {
      throw invalidPack(digest, 'corrupt_pack');
    }
    try {
      return decodePack(value.bytes);
    } catch (error) {
      throw invalidPack(digest, 'corrupt_pack', error);
    }
  }
}

function invalidPack(
  digest: Digest,
  reason: string,
  cause?: unknown,
): CarobseamError {
  return new CarobseamError({
    code: 'VERSION_INVALID',
    message: `pack ${digest} cannot be used: ${reason}`,
    hint: 'publish every pack before the manifest',
    info: {reason},
    cause,
  });
}

function packsToRead(
  manifest: Manifest,
  held: ReadonlyMap<Digest, Uint8Array>,
): Set<Digest> {
  const groups = [manifest.resources, ...Object.values(manifest.presets)];
  const packs = new Set<Digest>();
  for (const [id, digest] of groups.flatMap(group => Object.entries(group))) {
    if (!held.has(digest)) {
      const index = packIndexOf(id as ResourceId, manifest.packs.length);
      packs.add(manifest.packs[index]!.digest);
    }
  }
  return packs;
}
