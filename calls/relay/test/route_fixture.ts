import type {
  MeshRoute,
  MeshWorker,
  RouteName,
  WorkerId,
} from '@carobseam/config.mesh';
import type {DataCentreName, ServiceName} from '@carobseam/core.types';

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

/** Creates a worker of the service `desk` with four slots. */
export function createWorker(address: string): MeshWorker {
  return {
    id: 'i-7' as WorkerId,
    service: 'desk' as ServiceName,
    address,
    dataCentre: 'wien' as DataCentreName,
    slots: 4,
    isLeaving: false,
    coldRemainingMs: 0,
    bornMs: 0,
  };
}
