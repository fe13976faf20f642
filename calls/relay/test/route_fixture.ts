import type {MeshRoute, RouteName} from '@carobseam/config.mesh';

/** Creates an idempotent route; `overrides` replaces fields. */
export function createRoute(overrides: Partial<MeshRoute> = {}): MeshRoute {
  return {
    name: 'reveal' as RouteName,
    host: 'a.example',
    pathPrefix: '/',
    isIdempotent: true,
    timeoutMs: 1500,
    targetLatencyMs: 500,
    rank: 2,
    maxAttempts: 2,
    shares: [],
    ...overrides,
  };
}
