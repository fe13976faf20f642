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
  /** Contents of the current version; resources that did not change are not read again. */
  currentContents?: VersionContents;
  signal: AbortSignal;
}

type Blobs = Map<Digest, Uint8Array>;

/**
 * Reads the contents of a version from the platform. A version is published as
 * one manifest and several packs, and a pack holds the resources themselves.
 */
export class PlatformVersionSource {
  readonly #options: PlatformVersionSourceOptions;
  /** Resources that were read of a version whose other packs were not visible yet. */
  #partial?: {manifestDigest: Digest; blobs: Blobs};

  constructor(options: PlatformVersionSourceOptions) {
    this.#options = options;
  }

  /**
   * Reads the packs of a manifest that contain resources which are not known
   * yet.
   *
   * @throws CarobseamError `VERSION_INVALID` when a pack is missing or corrupt;
   *     its info has the `reason`. The next call for the same manifest does not
   *     read the other packs again.
   */
  async fetchContents(options: FetchContentsOptions): Promise<VersionContents> {
    const {manifest, manifestDigest, currentContents, signal} = options;
    const blobs = this.#partialBlobs(manifestDigest);
    for (const digest of allResourceDigests(manifest)) {
      const blob = currentContents?.blobs.get(digest);
      if (blob) {
        blobs.set(digest, blob);
      }
    }
    for (const packDigest of listPacksToRead(manifest, blobs)) {
      const pack = await this.#readPack(packDigest, signal);
      pack.forEach((blob, digest) => blobs.set(digest, blob));
    }
    this.#partial = undefined;
    return {manifest, manifestDigest, blobs};
  }

  #partialBlobs(manifestDigest: Digest): Blobs {
    if (this.#partial?.manifestDigest !== manifestDigest) {
      this.#partial = {manifestDigest, blobs: new Map()};
    }
    return this.#partial.blobs;
  }

  async #readPack(digest: Digest, signal: AbortSignal): Promise<Blobs> {
    const {platform, keyPrefix} = this.#options;
    const value = await platform.read(packKey(keyPrefix, digest), {signal});
    if (!value) {
      throw invalidPackError(digest, 'missing_pack');
    }
    if (digestOf(value.bytes) !== digest) {
      throw invalidPackError(digest, 'corrupt_pack');
    }
    try {
      return decodePack(value.bytes);
    } catch (error) {
      throw invalidPackError(digest, 'corrupt_pack', error);
    }
  }
}

function invalidPackError(
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

function listPacksToRead(
  manifest: Manifest,
  knownBlobs: ReadonlyMap<Digest, Uint8Array>,
): Set<Digest> {
  const groups = [manifest.resources, ...Object.values(manifest.presets)];
  const packs = new Set<Digest>();
  for (const [id, digest] of groups.flatMap(group => Object.entries(group))) {
    if (!knownBlobs.has(digest)) {
      const index = packIndexOf(id as ResourceId, manifest.packs.length);
      packs.add(manifest.packs[index]!.digest);
    }
  }
  return packs;
}
