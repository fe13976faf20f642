import type {Digest, ResourceId} from '@carobseam/core.types';
import {
  MAX_VALUE_BYTES,
  manifestSchema,
  resourceIdOf,
  resourceSchema,
  resourceDigestsOfPreset,
  type Manifest,
  type Resource,
  type VersionContents,
} from '@carobseam/config.types';
import {
  decodeCanonical,
  digestOf,
  manifestDigestOf,
} from '@carobseam/config.codec';

/** Why a version is rejected. */
export type VersionProblemReason =
  | 'schema'
  | 'oversized'
  | 'digest_mismatch'
  | 'unknown_preset'
  | 'missing_resource'
  | 'corrupt_resource'
  | 'dangling_service'
  | 'dangling_policy'
  | 'duplicate_route';

/** One problem of a version, with its remedy. */
export interface VersionProblem {
  reason: VersionProblemReason;
  message: string;
  hint: string;
}

/** Decoded resources by digest, shared between versions. */
export type ResourcesByDigest = ReadonlyMap<Digest, Resource>;

/** Result of `validateVersion`. */
export type VersionValidation =
  | {valid: true; resources: ResourcesByDigest}
  | {valid: false; problems: VersionProblem[]};

/** Options of `validateVersion`. */
export interface ValidateVersionOptions {
  contents: VersionContents;
  /** Resources that were decoded and checked before; they are reused. */
  cachedResources?: ResourcesByDigest;
  /** Checks the resources of each preset and not only of the active one. */
  allPresets?: boolean;
}

/**
 * Accepts or rejects a version as a whole. It runs before a version is
 * published, before a daemon forwards it and before a daemon applies it.
 */
export function validateVersion(
  options: ValidateVersionOptions,
): VersionValidation {
  const {contents} = options;
  const problems = checkManifest(contents);
  if (problems.length > 0) {
    return {valid: false, problems};
  }
  const resources = new Map<Digest, Resource>();
  const presets = options.allPresets
    ? (Object.keys(contents.manifest.presets) as PresetNames)
    : [contents.manifest.activePreset];
  for (const preset of presets) {
    const wanted = resourceDigestsOfPreset(contents.manifest, preset);
    const decoded = decodeResources(wanted, options, problems);
    decoded.forEach((resource, digest) => resources.set(digest, resource));
    checkReferences(preset, [...decoded.values()], problems);
  }
  return problems.length > 0
    ? {valid: false, problems}
    : {valid: true, resources};
}

type PresetNames = Array<Manifest['activePreset']>;

function checkManifest(contents: VersionContents): VersionProblem[] {
  const {manifest} = contents;
  const parsed = manifestSchema.safeParse(manifest);
  if (!parsed.success) {
    return parsed.error.issues.map(issue => ({
      reason: 'schema',
      message: `manifest ${issue.path.join('.')}: ${issue.message}`,
      hint: 'publish a manifest that carobseam render wrote',
    }));
  }
  if (manifestDigestOf(manifest) !== contents.manifestDigest) {
    return [
      {
        reason: 'digest_mismatch',
        message: `manifest of version ${manifest.version} has another digest`,
        hint: 'transfer the version again',
      },
    ];
  }
  if (!(manifest.activePreset in manifest.presets)) {
    return [
      {
        reason: 'unknown_preset',
        message: `active preset ${manifest.activePreset} is not declared`,
        hint: 'choose a preset that the declarations contain',
      },
    ];
  }
  return [];
}

function decodeResources(
  wanted: ReadonlyMap<ResourceId, Digest>,
  options: ValidateVersionOptions,
  problems: VersionProblem[],
): Map<Digest, Resource> {
  const decoded = new Map<Digest, Resource>();
  for (const [id, digest] of wanted) {
    const known = options.cachedResources?.get(digest);
    const blob = options.contents.blobs.get(digest);
    const result = known ?? decodeResource(id, digest, blob);
    if ('reason' in result) {
      problems.push(result);
    } else {
      decoded.set(digest, result);
    }
  }
  return decoded;
}

function decodeResource(
  id: ResourceId,
  digest: Digest,
  blob: Uint8Array | undefined,
): Resource | VersionProblem {
  if (!blob) {
    return {
      reason: 'missing_resource',
      message: `resource ${id} is missing`,
      hint: 'publish every pack before the manifest',
    };
  }
  if (blob.byteLength > MAX_VALUE_BYTES) {
    return {
      reason: 'oversized',
      message: `resource ${id} has ${blob.byteLength} bytes, the limit is ${MAX_VALUE_BYTES}`,
      hint: 'split the resource',
    };
  }
  if (digestOf(blob) !== digest) {
    return corruptResource(id, 'its digest differs');
  }
  return parseResource(id, blob);
}

function parseResource(
  id: ResourceId,
  blob: Uint8Array,
): Resource | VersionProblem {
  let value: unknown;
  try {
    value = decodeCanonical(blob);
  } catch {
    return corruptResource(id, 'it cannot be decoded');
  }
  const parsed = resourceSchema.safeParse(value);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    return {
      reason: 'schema',
      message: `resource ${id}: ${issue?.path.join('.')}: ${issue?.message}`,
      hint: 'correct the declaration and render it again',
    };
  }
  return resourceIdOf(parsed.data) === id
    ? parsed.data
    : corruptResource(id, `it contains ${resourceIdOf(parsed.data)}`);
}

function corruptResource(id: ResourceId, detail: string): VersionProblem {
  return {
    reason: 'corrupt_resource',
    message: `resource ${id} is corrupt, ${detail}`,
    hint: 'render and publish the version again',
  };
}

function checkReferences(
  preset: string,
  resources: readonly Resource[],
  problems: VersionProblem[],
): void {
  const ids = new Set<string>(resources.map(resourceIdOf));
  const routeNames = new Set<string>();
  for (const resource of resources) {
    if (resource.kind !== 'routes') {
      continue;
    }
    for (const route of resource.routes) {
      const where = `preset ${preset}, route ${route.name}`;
      if (!ids.has(`service/${route.service}`)) {
        problems.push({
          reason: 'dangling_service',
          message: `${where} names service ${route.service}, which does not exist`,
          hint: 'declare the service or remove the route',
        });
      }
      if (!ids.has(`policy/${route.policy}`)) {
        problems.push({
          reason: 'dangling_policy',
          message: `${where} names policy ${route.policy}, which does not exist`,
          hint: 'declare the policy or remove the route',
        });
      }
      if (routeNames.has(route.name)) {
        problems.push({
          reason: 'duplicate_route',
          message: `${where} is declared twice`,
          hint: 'give each route its own name',
        });
      }
      routeNames.add(route.name);
    }
  }
}
