import {
  configVersionSchema,
  digestSchema,
  presetNameSchema,
  resourceIdSchema,
  type Digest,
  type ResourceId,
} from '@carobseam/core.types';
import {z} from 'zod';

/** Format of manifests and packs; readers refuse any other. */
export const MANIFEST_FORMAT = 1;

/** Largest value that the platform holds, in bytes. */
export const MAX_VALUE_BYTES = 1_000_000;

const resourceDigestsSchema = z.record(resourceIdSchema, digestSchema);

/** Names everything that belongs to one version. */
export const manifestSchema = z.strictObject({
  format: z.literal(MANIFEST_FORMAT),
  version: configVersionSchema,
  activePreset: presetNameSchema,
  /** Digests of the resources that the presets share. */
  resources: resourceDigestsSchema,
  /** For each preset, the resources that differ from the shared ones. */
  presets: z.record(presetNameSchema, resourceDigestsSchema),
  /** The pack of a resource is at `packIndexOf(id, packs.length)`. */
  packs: z
    .array(
      z.strictObject({
        digest: digestSchema,
        sizeBytes: z.number().int().positive().max(MAX_VALUE_BYTES),
      }),
    )
    .min(1)
    .max(256),
});

/** A checked manifest. */
export type Manifest = z.output<typeof manifestSchema>;

/** Digests of the resources of one preset, by resource id. */
export function resourceDigestsOfPreset(
  manifest: Manifest,
  preset: Manifest['activePreset'],
): ReadonlyMap<ResourceId, Digest> {
  const merged = {...manifest.resources, ...manifest.presets[preset]};
  return new Map(Object.entries(merged) as Array<[ResourceId, Digest]>);
}

/** Digests of the resources of every preset. */
export function allResourceDigests(manifest: Manifest): ReadonlySet<Digest> {
  const digests = new Set<Digest>(Object.values(manifest.resources));
  for (const overrides of Object.values(manifest.presets)) {
    Object.values(overrides).forEach(digest => digests.add(digest));
  }
  return digests;
}
