import type {ConfigVersion} from '@carobseam/core.types';
import type {
  CallerLimits,
  MeshConfig,
  MeshRoute,
  RouteName,
} from './mesh_config.js';

/** Difference between two versions of the configuration. */
export interface ConfigDelta {
  from: ConfigVersion;
  to: ConfigVersion;
  /** Routes that are new or changed. */
  changedRoutes: readonly MeshRoute[];
  removedRoutes: readonly RouteName[];
  /**
   * Number of routes of the new version. Detects a delta that is applied to
   * another configuration than the one it was computed from.
   */
  routeCount: number;
  limits: CallerLimits;
}

/** Computes the delta from one version to another, route by route. */
export function diffConfigs(from: MeshConfig, to: MeshConfig): ConfigDelta {
  const oldRoutes = routesByName(from);
  const changedRoutes: MeshRoute[] = [];
  for (const route of to.routes) {
    const oldRoute = oldRoutes.get(route.name);
    oldRoutes.delete(route.name);
    if (!oldRoute || !isSameRoute(oldRoute, route)) {
      changedRoutes.push(route);
    }
  }
  return {
    from: from.version,
    to: to.version,
    changedRoutes,
    removedRoutes: [...oldRoutes.keys()],
    routeCount: to.routes.length,
    limits: to.limits,
  };
}

/**
 * Returns the configuration after the delta, or undefined when the delta was
 * computed from another configuration.
 */
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

/** Whether two routes of the same name have the same contents. */
export function isSameRoute(a: MeshRoute, b: MeshRoute): boolean {
  if (a === b) {
    return true;
  }
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
      (share, index) =>
        share.service === b.shares[index]!.service &&
        share.weight === b.shares[index]!.weight,
    )
  );
}
