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
import type {
  Clock,
  DataCentreName,
  RandomSource,
  ServiceName,
  VmId,
} from '@carobseam/core.types';
import type {Agent} from 'node:http';
import type {LocalWorker} from './local_worker.js';

/** Options of a `CallServer`. */
export interface CallServerOptions {
  vmId: VmId;
  dataCentre: DataCentreName;
  /** Service of the worker beside this daemon. */
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
  /** Issues a key for a call that may not be repeated and has none. */
  issueKey: (service: ServiceName) => IdempotencyKey;
  crashMarks: CrashMarkStore;
  /** Time after which a stop no longer waits for calls, ms. */
  shutdownTimeoutMs: number;
  /** Time in which a leaving daemon still accepts and refuses calls, ms. */
  leavingNoticeMs?: number;
}

/** What the calls of one daemon share. */
export interface CallDependencies extends CallServerOptions {
  readonly localWorker: LocalWorker;
  readonly balancer: LoadBalancer;
  readonly retries: RetryDecider;
  readonly peerAgent: Agent;
  /** A new identifier for a call that is forwarded to a peer. */
  nextCallId(): string;
}
