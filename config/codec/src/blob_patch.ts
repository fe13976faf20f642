import {
  resourceIdSchema,
  type Digest,
  type ResourceId,
} from '@carobseam/core.types';
import {
  MAX_VALUE_BYTES,
  resourceDigestsOfPreset,
  type VersionContents,
} from '@carobseam/config.types';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {z} from 'zod';
import type {Delta} from './delta.js';
import {digestOf} from './digest.js';

/** A resource, compressed with the base version's resource as dictionary. */
export const blobPatchSchema = z.strictObject({
  /** Resource of the base version that is the dictionary. */
  basisId: resourceIdSchema,
  bytes: z.custom<Uint8Array>(value => value instanceof Uint8Array),
});

/** A resource that needs the base version to be read. */
export type BlobPatch = z.output<typeof blobPatchSchema>;

/**
 * Splits the blobs of a delta into those with a counterpart in the base, which
 * become patches, and the others. A changed route then costs tens of bytes and
 * not its whole group.
 */
export function createBlobPatches(
  delta: Delta,
  base?: VersionContents,
): {blobs: Uint8Array[]; patches: BlobPatch[]} {
  const idByDigest = changedIds(delta);
  const basis = activeResources(base);
  const blobs: Uint8Array[] = [];
  const patches: BlobPatch[] = [];
  for (const blob of delta.blobs) {
    const basisId = idByDigest.get(digestOf(blob));
    const dictionary = basisId && basis.get(basisId);
    if (basisId && dictionary) {
      patches.push({basisId, bytes: deflateRawSync(blob, {dictionary})});
    } else {
      blobs.push(blob);
    }
  }
  return {blobs, patches};
}

/**
 * Restores the resources that were sent as patches. Patches of resources that
 * the base lacks are left out; the result is then incomplete.
 *
 * @throws when a patch cannot be decompressed.
 */
export function restoreBlobs(
  patches: readonly BlobPatch[],
  base: VersionContents,
): Uint8Array[] {
  const blobs: Uint8Array[] = [];
  const basis = activeResources(base);
  for (const {basisId, bytes} of patches) {
    const dictionary = basis.get(basisId);
    if (dictionary) {
      const options = {dictionary, maxOutputLength: MAX_VALUE_BYTES};
      blobs.push(new Uint8Array(inflateRawSync(bytes, options)));
    }
  }
  return blobs;
}

/** Only these resources are certain to be held by every holder of a version. */
function activeResources(base?: VersionContents): Map<ResourceId, Uint8Array> {
  const blobs = new Map<ResourceId, Uint8Array>();
  if (!base) {
    return blobs;
  }
  const {manifest} = base;
  for (const [id, digest] of resourceDigestsOfPreset(
    manifest,
    manifest.activePreset,
  )) {
    const blob = base.blobs.get(digest);
    if (blob) {
      blobs.set(id, blob);
    }
  }
  return blobs;
}

function changedIds(delta: Delta): Map<Digest, ResourceId> {
  const ids = new Map<Digest, ResourceId>();
  for (const changes of [delta.resources, ...Object.values(delta.presets)]) {
    for (const [id, digest] of Object.entries(changes ?? {})) {
      if (digest !== null) {
        ids.set(digest, id as ResourceId);
      }
    }
  }
  return ids;
}
