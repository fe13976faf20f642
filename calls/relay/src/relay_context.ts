import type {WorkerLoads} from '@carobseam/calls.placement';
import type {ServiceRetryBudgets} from '@carobseam/calls.retries';
import type {MeshState} from '@carobseam/config.mesh';
import type {
  Clock,
  DataCentreName,
  RandomSource,
  ServiceName,
} from '@carobseam/core.types';
import type {IncomingMessage} from 'node:http';
import type {CallerDeadlineTracker} from './caller_deadline_tracker.js';
import type {CrashQuarantine} from './crash_quarantine.js';
import type {HopStamps} from './hop_delay.js';
import type {PeerHealth} from './peer_health.js';
import type {PeerPools} from './peer_pools.js';
import type {RequestLog} from './request_log.js';
import type {RequestIntake} from './request_intake.js';
import type {WorkerGate} from './worker_gate.js';

/**
 * Dependencies that all outbound requests of a relay share. A relay is the
 * proxy process on a VM; it serves the callers and the one worker of that VM.
 */
export interface RelayContext {
  clock: Clock;
  random: RandomSource;
  state: MeshState;
  workerLoads: WorkerLoads;
  peerHealth: PeerHealth;
  peerPools: PeerPools;
  workerGate: WorkerGate;
  /** By default no request is refused as a cause of crashes. */
  quarantine?: CrashQuarantine;
  callerDeadlines: CallerDeadlineTracker;
  intake: RequestIntake;
  hopStamps: HopStamps;
  /** Estimates how long a caller's request has waited until it was read, in ms. */
  readDelayOf: (request: IncomingMessage) => number;
  log: RequestLog;
  dataCentre: DataCentreName;
  /** Service of the local worker. */
  service: ServiceName;
  /** Address of the local worker. */
  workerAddress: string;
  retryBudgets: ServiceRetryBudgets;
  /** Whether the configuration is known to be the newest. */
  isStateCurrent: () => boolean;
  /** Whether this relay is shutting down gracefully. */
  isDraining: () => boolean;
  /**
   * Latest time at which this relay exits, on the monotonic clock, in ms;
   * infinite unless it drains.
   */
  shutdownDeadlineMs: () => number;
  /** Whether the shutdown is so far advanced that new requests are refused. */
  isRefusingNewRequests: () => boolean;
}
