import type {
  MeshConfig,
  MeshRoute,
  MeshState,
  MeshWorker,
  RouteName,
  SourceRevision,
  WorkerChange,
  WorkerId,
} from '@carobseam/config.mesh';
import type {
  Clock,
  ConfigVersion,
  DataCentreName,
  ServiceName,
} from '@carobseam/core.types';

/** Options of a state in data centre `wien`, with the limits of the users' small sites. */
export const stateOptions = {
  dataCentre: 'wien' as DataCentreName,
  contactMs: 3000,
};

/** Records an outage of the source that has just ended. */
export function endOutage(
  state: MeshState,
  clock: Clock,
  durationMs = 4000,
): void {
  state.recordSourceFailure(clock.monotonicMs() - durationMs);
  state.recordSourceFailure(clock.monotonicMs());
  state.endSourceOutage();
}

/** Returns a worker of service `desk`, with the given fields changed. */
export function createWorker(overrides: Partial<MeshWorker> = {}): MeshWorker {
  return {
    id: 'i-1' as WorkerId,
    service: 'desk' as ServiceName,
    address: '10.0.0.1:8000',
    dataCentre: 'wien' as DataCentreName,
    slots: 12,
    isLeaving: false,
    coldRemainingMs: 0,
    bornMs: 0,
    ...overrides,
  };
}

/** Returns the change that writes a worker's entry. */
export function createPut(worker: MeshWorker, revision: number): WorkerChange {
  return {id: worker.id, revision: revision as SourceRevision, worker};
}

/** Returns the change that removes a worker's entry. */
export function createRemoval(id: WorkerId, revision: number): WorkerChange {
  return {id, revision: revision as SourceRevision};
}

/** Returns a route to service `desk`, with the given fields changed. */
export function createRoute(overrides: Partial<MeshRoute> = {}): MeshRoute {
  return {
    name: 'reveal' as RouteName,
    host: 'hints.example',
    pathPrefix: '/reveal/',
    isIdempotent: true,
    timeoutMs: 1500,
    targetLatencyMs: 500,
    rank: 2,
    maxAttempts: 2,
    shares: [{service: 'desk' as ServiceName, weight: 1}],
    ...overrides,
  };
}

/** Returns a configuration with the given version and routes. */
export function createConfig(
  version: number,
  routes: readonly MeshRoute[] = [createRoute()],
): MeshConfig {
  return {
    version: version as ConfigVersion,
    routes,
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 1048576,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
    },
  };
}
