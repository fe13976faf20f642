import type {ConfigVersion} from '@carobseam/core.types';
import type {
  CallerLimits,
  MeshConfig,
  MeshRoute,
  RouteName,
} from './mesh_config.js';

/** What turns one version of the configuration into another. */
export interface ConfigDelta {
  from: ConfigVersion;
  to: ConfigVersion;
  /** Routes that are new or changed. */
  changedRoutes: readonly MeshRoute[];
  removedRoutes: readonly RouteName[];
  /** Routes of the new version, to notice a delta that does not fit. */
  routeCount: number;
  limits: CallerLimits;
}

/** Compares two versions route by route. */
export function diffConfigs(from: MeshConfig, to: MeshConfig): ConfigDelta {
  const before = routesByName(from);
  const changedRoutes: MeshRoute[] = [];
  for (const route of to.routes) {
    const known = before.get(route.name);
    before.delete(route.name);
    if (!known || !isSameRoute(known, route)) {
      changedRoutes.push(route);
    }
  }
  return {
    from: from.version,
    to: to.version,
    changedRoutes,
    removedRoutes: [...before.keys()],
    routeCount: to.routes.length,
    limits: to.limits,
  };
}

/** @return undefined when the delta does not belong to the configuration. */
export function applyConfigDelta(
  config: MeshConfig,
  delta: ConfigDelta,
): MeshConfig | undefined {
  if (config.version !== delta.from) {
    return undefined;
  }
  const routes = routesByName(config);
  delta.removedRoutes.forEach(name => routes.delete(name));
  delta.changedRoutes.forEach(route => routes.set(route.name, route));
  if (routes.size !== delta.routeCount) {
    return undefined;
  }
  return {
    version: delta.to,
    routes: [...routes.values()],
    limits: delta.limits,
  };
}

function routesByName(config: MeshConfig): Map<RouteName, MeshRoute> {
  return new Map(config.routes.map(route => [route.name, route]));
}

function isSameRoute(a: MeshRoute, b: MeshRoute): boolean {
  return (
    a.host === b.host &&
    a.pathPrefix === b.pathPrefix &&
    a.isIdempotent === b.isIdempotent &&
    a.timeoutMs === b.timeoutMs &&
    a.targetLatencyMs === b.targetLatencyMs &&
    a.rank === b.rank &&
    a.maxAttempts === b.maxAttempts &&
    a.shares.length === b.shares.length &&
    a.shares.every(
      (share, at) =>
        share.service === b.shares[at]!.service &&
        share.weight === b.shares[at]!.weight,
    )
  );
}
