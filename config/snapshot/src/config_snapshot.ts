import {CarobseamError} from '@carobseam/core.errors';
import type {
  ConfigVersion,
  Digest,
  PolicyName,
  PresetName,
  ServiceName,
} from '@carobseam/core.types';
import {
  resourceDigestsOfPreset,
  type PolicyResource,
  type Resource,
  type Route,
  type ServiceResource,
  type VersionContents,
} from '@carobseam/config.types';
import {
  validateVersion,
  type VersionProblem,
} from '@carobseam/config.validation';
import {RouteIndex} from './route_index.js';

/** A whole, checked and immutable version, ready for use by calls. */
export interface ConfigSnapshot {
  readonly version: ConfigVersion;
  readonly manifestDigest: Digest;
  readonly activePreset: PresetName;
  readonly contents: VersionContents;
  /** Decoded resources, shared with snapshots of other versions. */
  readonly resources: ReadonlyMap<Digest, Resource>;
  readonly services: ReadonlyMap<ServiceName, ServiceResource>;
  readonly policies: ReadonlyMap<PolicyName, PolicyResource>;
  readonly routes: readonly Route[];
  readonly routeIndex: RouteIndex;
}

/** Result of `createSnapshot`. */
export type SnapshotResult =
  | {valid: true; snapshot: ConfigSnapshot}
  | {valid: false; problems: VersionProblem[]};

/**
 * Validates a version and builds its snapshot.
 *
 * @param previous snapshot whose unchanged resources are reused.
 */
export function createSnapshot(
  contents: VersionContents,
  previous?: ConfigSnapshot,
): SnapshotResult {
  const result = validateVersion({
    contents,
    cachedResources: previous?.resources,
  });
  if (!result.valid) {
    return result;
  }
  return {valid: true, snapshot: buildSnapshot(contents, result.resources)};
}

/** Like `createSnapshot`, for contents that are known to be valid. */
export function createSnapshotOrThrow(
  contents: VersionContents,
): ConfigSnapshot {
  const result = createSnapshot(contents);
  if (result.valid) {
    return result.snapshot;
  }
  throw new CarobseamError({
    code: 'VERSION_INVALID',
    message: result.problems.map(problem => problem.message).join('; '),
    hint: result.problems[0]!.hint,
  });
}

function buildSnapshot(
  contents: VersionContents,
  resources: ReadonlyMap<Digest, Resource>,
): ConfigSnapshot {
  const {manifest} = contents;
  const active = [
    ...resourceDigestsOfPreset(manifest, manifest.activePreset),
  ].map(([, digest]) => resources.get(digest)!);
  const routes = active.flatMap(resource =>
    resource.kind === 'routes' ? resource.routes : [],
  );
  return Object.freeze({
    version: manifest.version,
    manifestDigest: contents.manifestDigest,
    activePreset: manifest.activePreset,
    contents,
    resources,
    services: byName(active.filter(isService)),
    policies: byName(active.filter(isPolicy)),
    routes,
    routeIndex: new RouteIndex(routes),
  });
}

function byName<T extends {name: unknown}>(items: T[]): Map<T['name'], T> {
  return new Map(items.map(item => [item.name, item]));
}

function isService(resource: Resource): resource is ServiceResource {
  return resource.kind === 'service';
}

function isPolicy(resource: Resource): resource is PolicyResource {
  return resource.kind === 'policy';
}
