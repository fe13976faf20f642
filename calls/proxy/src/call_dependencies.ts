import type {
  IdempotencyKey,
  KeyGuard,
  OwnerChooser,
} from '@carobseam/calls.at_most_once';
import type {LoadBalancer} from '@carobseam/calls.balancing';
import type {RetryDecider} from '@carobseam/calls.retries';
import type {CrashMarkStore} from '@carobseam/calls.crash_marks';
import type {DaemonBlackboard} from '@carobseam/core.blackboard';
import type {Logger} from '@carobseam/core.logger';
import type {Metrics} from '@carobseam/core.metrics';
import type {LatestRequests} from '@carobseam/core.net';
import type {
  Clock,
  DataCentreName,
  RandomSource,
  ServiceName,
  VmId,
} from '@carobseam/core.types';
import type {Agent} from 'node:http';
import type {LocalWorker} from './local_worker.js';

export interface CallServerOptions {
  vmId: VmId;
  dataCentre: DataCentreName;
  /** Service that the local worker provides. */
  service: ServiceName;
  address: string;
  port: number;
  upstream: {address: string; port: number};
  blackboard: DaemonBlackboard;
  clock: Clock;
  random: RandomSource;
  metrics: Metrics;
  logger: Logger;
  keyGuard: KeyGuard;
  ownerChooser: OwnerChooser;
  /** Issues a key for a non-idempotent call that arrives without one. */
  issueKey: (service: ServiceName) => IdempotencyKey;
  crashMarks: CrashMarkStore;
  /** Longest time that a graceful shutdown waits for calls in flight, ms. */
  shutdownTimeoutMs: number;
  /**
   * Time at the start of a shutdown in which the daemon still accepts
   * connections and refuses new calls as `leaving`, ms.
   */
  leavingNoticeMs?: number;
}

/** Objects that all calls of one daemon share. */
export interface CallDependencies extends CallServerOptions {
  readonly localWorker: LocalWorker;
  readonly loadBalancer: LoadBalancer;
  readonly retryDecider: RetryDecider;
  readonly peerAgent: Agent;
  readonly latestRequests: LatestRequests;
  /** Creates the identifier of a call that is forwarded to a peer. */
  createCallId(): string;
}
