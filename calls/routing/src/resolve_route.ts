import type {ConfigSnapshot} from '@carobseam/config.snapshot';
import type {
  PolicyResource,
  Route,
  ServiceResource,
} from '@carobseam/config.types';

/**
 * Route, service and policy of a request, from the configuration snapshot that
 * it started with.
 */
export interface ResolvedRoute {
  readonly snapshot: ConfigSnapshot;
  readonly route: Route;
  readonly service: ServiceResource;
  readonly policy: PolicyResource;
}

/**
 * Resolves the route of a request; undefined when no route matches.
 *
 * @param url request target, including its query.
 */
export function resolveRoute(
  snapshot: ConfigSnapshot,
  method: string,
  url: string,
): ResolvedRoute | undefined {
  const route = snapshot.routeIndex.find(method, pathOf(url));
  if (!route) {
    return undefined;
  }
  // Validation guarantees that both exist.
  const service = snapshot.services.get(route.service)!;
  const policy = snapshot.policies.get(route.policy)!;
  return {snapshot, route, service, policy};
}

function pathOf(url: string): string {
  const queryStart = url.indexOf('?');
  return queryStart < 0 ? url : url.slice(0, queryStart);
}
