import type {ConfigVersion, Digest, ResourceId} from '@carobseam/core.types';
import {
  MANIFEST_FORMAT,
  MAX_VALUE_BYTES,
  resourceIdOf,
  type Manifest,
  type Resource,
  type VersionContents,
} from '@carobseam/config.types';
import {
  digestOf,
  encodeCanonical,
  encodePack,
  manifestDigestOf,
  packIndexOf,
} from '@carobseam/config.codec';
import type {Declarations} from './load_declarations.js';

/** A version with its packs, ready to be published. */
export interface RenderedVersion {
  contents: VersionContents;
  /** Encoded packs by digest. */
  packs: ReadonlyMap<Digest, Uint8Array>;
}

/** Options of `renderVersion`. */
export interface RenderVersionOptions {
  declarations: Declarations;
  version: ConfigVersion;
  /** Encoded resources that one pack may hold, in bytes. */
  packTargetBytes?: number;
}

const DEFAULT_PACK_TARGET_BYTES = MAX_VALUE_BYTES / 4;

/** Renders declarations; the same input gives the same bytes. */
export function renderVersion(options: RenderVersionOptions): RenderedVersion {
  const {declarations, version} = options;
  const blobs = new Map<Digest, Uint8Array>();
  const idByDigest = new Map<Digest, ResourceId>();
  const add = (resource: Resource): Digest => {
    const blob = encodeCanonical(resource);
    const digest = digestOf(blob);
    blobs.set(digest, blob);
    idByDigest.set(digest, resourceIdOf(resource));
    return digest;
  };
  const resources = digestsById(declarations.resources, add);
  const presets = Object.fromEntries(
    declarations.presets.map(preset => [
      preset.name,
      digestsById(preset.overrides, add),
    ]),
  ) as Manifest['presets'];
  const packs = buildPacks(
    blobs,
    idByDigest,
    options.packTargetBytes ?? DEFAULT_PACK_TARGET_BYTES,
  );
  const manifest: Manifest = {
    format: MANIFEST_FORMAT,
    version,
    activePreset: declarations.mesh.activePreset,
    resources,
    presets,
    packs: packs.map(bytes => ({
      digest: digestOf(bytes),
      sizeBytes: bytes.byteLength,
    })),
  };
  const manifestDigest = manifestDigestOf(manifest);
  return {
    contents: {manifest, manifestDigest, blobs},
    packs: new Map(packs.map(bytes => [digestOf(bytes), bytes])),
  };
}

function digestsById(
  resources: readonly Resource[],
  add: (resource: Resource) => Digest,
): Manifest['resources'] {
  return Object.fromEntries(
    resources.map(resource => [resourceIdOf(resource), add(resource)]),
  ) as Manifest['resources'];
}

function buildPacks(
  blobs: ReadonlyMap<Digest, Uint8Array>,
  idByDigest: ReadonlyMap<Digest, ResourceId>,
  packTargetBytes: number,
): Uint8Array[] {
  const totalBytes = [...blobs.values()].reduce((n, b) => n + b.byteLength, 0);
  const packCount = Math.max(1, Math.ceil(totalBytes / packTargetBytes));
  const groups = Array.from({length: packCount}, (): Digest[] => []);
  for (const [digest, id] of idByDigest) {
    groups[packIndexOf(id, packCount)]!.push(digest);
  }
  return groups.map(group =>
    encodePack(group.sort().map(digest => blobs.get(digest)!)),
  );
}
