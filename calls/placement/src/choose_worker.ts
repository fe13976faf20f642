import type {MeshWorker, WorkerId} from '@carobseam/config.mesh';
import type {DataCentreName, RandomSource} from '@carobseam/core.types';
import type {LoadEstimate} from './worker_loads.js';

const IN_TIME_SHARE = 0.85; // of the time until due; the rest allows another attempt if the worker is full
const CROSS_DATA_CENTRE_COST_SHARE = 0.2; // of the target latency, for the traffic between data centres and the load on the other one
const COLD_PENALTY_SHARE = 0.5; // a cold (recently started) worker takes about twice as long
const JITTER_SHARE = 0.1; // so that relays with the same load reports do not all choose the same worker
const FIRST_TRY_SHARE = 0.05; // of the requests go to workers of unknown load, so that the load of a new worker is known within a second
const MAX_FAILURE_SHARE = 0.3; // above it a worker is used only as a last resort

/** Options of `chooseWorker`. */
export interface ChooseWorkerOptions {
  workers: readonly MeshWorker[];
  dataCentre: DataCentreName;
  /** Time until the response misses the target latency, in ms. */
  dueInMs: number;
  targetLatencyMs: number;
  estimate: (worker: MeshWorker) => LoadEstimate;
  /** Whether the VM of the worker is marked as down. */
  isUnreachable: (worker: MeshWorker) => boolean;
  /** Whether no request can reach the worker. */
  isCutOff: (worker: MeshWorker) => boolean;
  /** Whether the worker must receive no more requests. */
  hasLeft: (worker: MeshWorker) => boolean;
  /** Workers that were already tried for this request. */
  triedWorkerIds: ReadonlySet<WorkerId>;
  random: RandomSource;
}

/** A chosen worker and the reason for the choice. */
export interface WorkerChoice {
  worker: MeshWorker;
  /** Expected time until the response, in ms. */
  expectedMs: number;
  reason: 'local' | 'remote' | 'firstTry' | 'lastResort';
}

interface Candidate {
  worker: MeshWorker;
  expectedMs: number;
  isLastResort: boolean;
  isFull: boolean;
  isLoadUnknown: boolean;
}

/**
 * Chooses the worker with the lowest expected latency. Workers of the local
 * data centre are preferred as long as their response is expected within the
 * target latency; otherwise a worker of another data centre is chosen if its
 * response is expected in time. If no response is, the request stays in the
 * local data centre, because sending it elsewhere gains nothing. Workers that
 * are leaving, failing or unreachable are used only if there is no other.
 *
 * @return undefined when every worker was tried, has left or is cut off.
 */
export function chooseWorker(
  options: ChooseWorkerOptions,
): WorkerChoice | undefined {
  const {workers, triedWorkerIds, random, dataCentre} = options;
  const untried = workers.filter(
    worker =>
      !triedWorkerIds.has(worker.id) &&
      !options.hasLeft(worker) &&
      !options.isCutOff(worker),
  );
  if (random.nextFloat() < FIRST_TRY_SHARE) {
    const unknownLoad = preferredCandidates(untried, options).filter(
      ({isLoadUnknown}) => isLoadUnknown,
    );
    if (unknownLoad.length > 0) {
      return toChoice(
        unknownLoad[random.nextInt(unknownLoad.length)]!,
        'firstTry',
      );
    }
  }
  // Estimates are costly, so those of remote workers are made only when needed.
  const isLocal = (worker: MeshWorker) => worker.dataCentre === dataCentre;
  const local = findFastest(
    preferredCandidates(untried.filter(isLocal), options),
    options,
  );
  const isLocalInTime =
    local !== undefined &&
    !local.isFull &&
    local.expectedMs <= options.dueInMs * IN_TIME_SHARE;
  if (isLocalInTime) {
    return toChoice(local, 'local');
  }
  const remoteWorkers = untried.filter(worker => !isLocal(worker));
  const remoteCandidates = preferredCandidates(remoteWorkers, options);
  if (!local && remoteCandidates.length === 0) {
    const candidates = untried.map(worker => toCandidate(worker, options));
    const lastResort = findFastest(candidates, options);
    return lastResort && toChoice(lastResort, 'lastResort');
  }
  const remote = findFastest(
    remoteCandidates.filter(({isFull}) => !isFull),
    options,
  );
  const crossDataCentreMs =
    options.targetLatencyMs * CROSS_DATA_CENTRE_COST_SHARE;
  const isRemoteInTime =
    remote &&
    remote.expectedMs + crossDataCentreMs <= options.dueInMs * IN_TIME_SHARE;
  if (remote && (isRemoteInTime || !local)) {
    return toChoice(remote, 'remote');
  }
  return local && toChoice(local, 'local');
}

function preferredCandidates(
  workers: readonly MeshWorker[],
  options: ChooseWorkerOptions,
): Candidate[] {
  return workers
    .map(worker => toCandidate(worker, options))
    .filter(candidate => !candidate.isLastResort);
}

function toCandidate(
  worker: MeshWorker,
  options: ChooseWorkerOptions,
): Candidate {
  const load = options.estimate(worker);
  const coldMs =
    worker.coldRemainingMs > 0 ? load.serviceMs * COLD_PENALTY_SHARE : 0;
  // A failed response counts as if it took the whole target latency.
  const failureMs = load.failureShare * options.targetLatencyMs;
  return {
    worker,
    expectedMs: load.waitMs + load.serviceMs + coldMs + failureMs,
    isFull: load.isFull,
    isLoadUnknown: load.isLoadUnknown,
    isLastResort:
      load.isLeaving ||
      load.isDown ||
      load.failureShare > MAX_FAILURE_SHARE ||
      options.isUnreachable(worker),
  };
}

function findFastest(
  candidates: readonly Candidate[],
  options: ChooseWorkerOptions,
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestMs = Infinity;
  for (const candidate of candidates) {
    const jitter = 1 + options.random.nextFloat() * JITTER_SHARE;
    const costMs = candidate.expectedMs * jitter;
    if (costMs < bestMs) {
      best = candidate;
      bestMs = costMs;
    }
  }
  return best;
}

function toChoice(
  candidate: Candidate,
  reason: WorkerChoice['reason'],
): WorkerChoice {
  return {worker: candidate.worker, expectedMs: candidate.expectedMs, reason};
}
