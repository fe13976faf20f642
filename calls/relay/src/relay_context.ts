import type {WorkerLoads} from '@carobseam/calls.placement';
import type {ServiceRetryBudgets} from '@carobseam/calls.retries';
import type {MeshState} from '@carobseam/config.mesh';
import type {
  Clock,
  DataCentreName,
  RandomSource,
  ServiceName,
} from '@carobseam/core.types';
import type {CallerDeadlineTracker} from './caller_deadline_tracker.js';
import type {PeerHealth} from './peer_health.js';
import type {PeerPools} from './peer_pools.js';
import type {RequestLog} from './request_log.js';
import type {WorkerGate} from './worker_gate.js';

/** What every request that starts at this relay needs. */
export interface RelayContext {
  clock: Clock;
  random: RandomSource;
  state: MeshState;
  workerLoads: WorkerLoads;
  peerHealth: PeerHealth;
  peerPools: PeerPools;
  workerGate: WorkerGate;
  callerDeadlines: CallerDeadlineTracker;
  log: RequestLog;
  dataCentre: DataCentreName;
  /** Service of the worker beside this relay. */
  service: ServiceName;
  workerAddress: string;
  retryBudgets: ServiceRetryBudgets;
  /** Whether this relay is about to end. */
  isDraining: () => boolean;
  /** When this relay ends at the latest, on the monotonic clock, in ms. */
  shutdownDeadlineMs: () => number;
  /** Whether this relay is so near its end that it takes nothing new. */
  isRefusingNewRequests: () => boolean;
}
