import {CarobseamError} from '@carobseam/core.errors';
import {
  configVersionSchema,
  digestSchema,
  presetNameSchema,
  resourceIdSchema,
  type Digest,
} from '@carobseam/core.types';
import {
  allResourceDigests,
  manifestSchema,
  resourceDigestsOfPreset,
  type Manifest,
  type VersionContents,
} from '@carobseam/config.types';
import {brotliCompressSync, brotliDecompressSync, constants} from 'node:zlib';
import {z} from 'zod';
import {
  blobPatchSchema,
  createBlobPatches,
  restoreBlobs,
} from './blob_patch.js';
import {decodeCanonical, encodeCanonical} from './canonical.js';
import {digestOf} from './digest.js';
import {manifestDigestOf} from './manifest_codec.js';

const MAX_DELTA_BYTES = 16_000_000;
const BROTLI_QUALITY = 5;

const digestChangesSchema = z.record(
  resourceIdSchema,
  z.union([digestSchema, z.null()]),
);

const deltaSchema = z.strictObject({
  /** Absent in a delta that carries the full version. */
  baseDigest: digestSchema.optional(),
  version: configVersionSchema,
  manifestDigest: digestSchema,
  activePreset: presetNameSchema,
  resources: digestChangesSchema,
  presets: z.record(presetNameSchema, z.union([digestChangesSchema, z.null()])),
  packs: manifestSchema.shape.packs,
  blobs: z.array(z.custom<Uint8Array>(value => value instanceof Uint8Array)),
  /** Wall time at which a reader first saw the version, ms. */
  firstReadWallMs: z.number(),
});

const wireDeltaSchema = deltaSchema.extend({
  /** Resources that are sent as a difference from one of the base. */
  patches: z.array(blobPatchSchema),
});

/** What changed from a base version to another; see `encodeDelta`. */
export type Delta = z.output<typeof deltaSchema>;

type DigestChanges = Delta['resources'];
type DigestMap = Manifest['resources'];

/** Options of `buildDelta`. */
export interface BuildDeltaOptions {
  /** Version that the receiver holds; absent for the full version. */
  base?: VersionContents;
  target: VersionContents;
  /** Whether resources of presets that are not active are included. */
  allPresets: boolean;
  firstReadWallMs: number;
}

/** Builds the difference between two versions. */
export function buildDelta(options: BuildDeltaOptions): Delta {
  const {base, target} = options;
  const from = base?.manifest;
  const to = target.manifest;
  return {
    baseDigest: base?.manifestDigest,
    version: to.version,
    manifestDigest: target.manifestDigest,
    activePreset: to.activePreset,
    resources: diffDigests(from?.resources ?? {}, to.resources),
    presets: diffPresets(from?.presets ?? {}, to.presets),
    packs: to.packs,
    blobs: changedBlobs(options),
    firstReadWallMs: options.firstReadWallMs,
  };
}

/**
 * Encodes a delta once; the bytes can be sent to any number of peers.
 *
 * @param base version that the receiver holds; changed resources are then
 *     encoded as differences from its resources.
 */
export function encodeDelta(delta: Delta, base?: VersionContents): Uint8Array {
  const {blobs, patches} = createBlobPatches(delta, base);
  const encoded = encodeCanonical({...delta, blobs, patches});
  return brotliCompressSync(encoded, {
    params: {
      [constants.BROTLI_PARAM_QUALITY]: BROTLI_QUALITY,
      [constants.BROTLI_PARAM_SIZE_HINT]: encoded.byteLength,
    },
  });
}

/**
 * Decodes a delta and checks its schema.
 *
 * @param base version that this daemon holds. Without the base of the delta
 *     the result lacks the resources that were encoded as differences; then
 *     `applyDelta` rejects it.
 * @throws CarobseamError `CODEC_INVALID`.
 */
export function decodeDelta(bytes: Uint8Array, base?: VersionContents): Delta {
  try {
    const options = {maxOutputLength: MAX_DELTA_BYTES};
    const {patches, ...delta} = wireDeltaSchema.parse(
      decodeCanonical(brotliDecompressSync(bytes, options)),
    );
    const isBase = base && delta.baseDigest === base.manifestDigest;
    const restored = isBase ? restoreBlobs(patches, base) : [];
    return {...delta, blobs: [...delta.blobs.map(copyOf), ...restored]};
  } catch (error) {
    throw invalidDelta('delta cannot be decoded', error);
  }
}

/**
 * Applies a delta to its base.
 *
 * @throws CarobseamError `CODEC_INVALID` when the base is another one or the
 *     result does not have the digest that the delta names.
 */
export function applyDelta(
  delta: Delta,
  base?: VersionContents,
): VersionContents {
  if (
    delta.baseDigest !== undefined &&
    delta.baseDigest !== base?.manifestDigest
  ) {
    throw invalidDelta('delta has another base version');
  }
  const from = delta.baseDigest === undefined ? undefined : base;
  const manifest: Manifest = {
    format: 1,
    version: delta.version,
    activePreset: delta.activePreset,
    resources: patchDigests(from?.manifest.resources ?? {}, delta.resources),
    presets: patchPresets(from?.manifest.presets ?? {}, delta.presets),
    packs: delta.packs,
  };
  if (manifestDigestOf(manifest) !== delta.manifestDigest) {
    throw invalidDelta('delta does not give the manifest that it names');
  }
  const blobs = mergeBlobs(manifest, delta.blobs, from?.blobs);
  return {manifest, manifestDigest: delta.manifestDigest, blobs};
}

/** Copies, because the decoder returns views of one large buffer. */
function copyOf(blob: Uint8Array): Uint8Array {
  return new Uint8Array(blob);
}

function invalidDelta(message: string, cause?: unknown): CarobseamError {
  return new CarobseamError({
    code: 'CODEC_INVALID',
    message,
    hint: 'pull the full version from a peer',
    cause,
  });
}

function changedBlobs(options: BuildDeltaOptions): Uint8Array[] {
  const held = new Set(neededDigests(options.base, options.allPresets));
  const wanted = neededDigests(options.target, options.allPresets);
  return wanted
    .filter(digest => !held.has(digest))
    .map(digest => options.target.blobs.get(digest))
    .filter(blob => blob !== undefined);
}

function neededDigests(
  contents: VersionContents | undefined,
  allPresets: boolean,
): Digest[] {
  if (!contents) {
    return [];
  }
  const {manifest} = contents;
  return allPresets
    ? [...allResourceDigests(manifest)]
    : [
        ...new Set(
          resourceDigestsOfPreset(manifest, manifest.activePreset).values(),
        ),
      ];
}

function mergeBlobs(
  manifest: Manifest,
  added: readonly Uint8Array[],
  held: ReadonlyMap<Digest, Uint8Array> | undefined,
): Map<Digest, Uint8Array> {
  const addedByDigest = new Map(added.map(blob => [digestOf(blob), blob]));
  const merged = new Map<Digest, Uint8Array>();
  for (const digest of allResourceDigests(manifest)) {
    const blob = addedByDigest.get(digest) ?? held?.get(digest);
    if (blob) {
      merged.set(digest, blob);
    }
  }
  return merged;
}

function diffDigests(from: DigestMap, to: DigestMap): DigestChanges {
  const changes: DigestChanges = {};
  for (const id of Object.keys(from) as Array<keyof DigestMap>) {
    if (!(id in to)) {
      changes[id] = null;
    }
  }
  for (const [id, digest] of Object.entries(to)) {
    if (from[id as keyof DigestMap] !== digest) {
      changes[id as keyof DigestMap] = digest;
    }
  }
  return changes;
}

function patchDigests(from: DigestMap, changes: DigestChanges): DigestMap {
  const result: DigestMap = {...from};
  for (const [key, digest] of Object.entries(changes)) {
    const id = key as keyof DigestMap;
    if (digest === null) {
      delete result[id];
    } else {
      result[id] = digest;
    }
  }
  return result;
}

function diffPresets(
  from: Manifest['presets'],
  to: Manifest['presets'],
): Delta['presets'] {
  const changes: Delta['presets'] = {};
  for (const key of Object.keys(from)) {
    const name = key as keyof Manifest['presets'];
    if (!(name in to)) {
      changes[name] = null;
    }
  }
  for (const [key, digests] of Object.entries(to)) {
    const name = key as keyof Manifest['presets'];
    const change = diffDigests(from[name] ?? {}, digests);
    if (!(name in from) || Object.keys(change).length > 0) {
      changes[name] = change;
    }
  }
  return changes;
}

function patchPresets(
  from: Manifest['presets'],
  changes: Delta['presets'],
): Manifest['presets'] {
  const result: Manifest['presets'] = {...from};
  for (const [key, change] of Object.entries(changes)) {
    const name = key as keyof Manifest['presets'];
    if (change === null) {
      delete result[name];
    } else {
      result[name] = patchDigests(from[name] ?? {}, change);
    }
  }
  return result;
}
