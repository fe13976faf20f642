import type {MeshWorker, WorkerId} from '@carobseam/config.mesh';
import type {DataCentreName, RandomSource} from '@carobseam/core.types';
import type {LoadEstimate} from './worker_loads.js';

const LOCAL_SHARE = 0.85; // of the time left, so that a full local worker loses no request
const CROSSING_SHARE = 0.2; // of the target latency: a crossing costs bytes and a queue elsewhere
const COLD_PENALTY_SHARE = 0.5; // a cold worker takes about twice as long
const NOISE_SHARE = 0.1; // keeps daemons with the same reports from choosing alike
const FIRST_TRY_SHARE = 0.05; // of the requests, so that a new worker's load is known within a second
const FAILING_SHARE = 0.3; // above it a worker is used only when no other is left

/** Options of `chooseWorker`. */
export interface ChooseWorkerOptions {
  workers: readonly MeshWorker[];
  dataCentre: DataCentreName;
  /** Time left until a response is late, in ms. */
  leftMs: number;
  targetLatencyMs: number;
  estimate: (worker: MeshWorker) => LoadEstimate;
  /** Whether the way to the worker's VM is known to be down. */
  isUnreachable: (worker: MeshWorker) => boolean;
  /** Workers that the request was already offered to. */
  tried: ReadonlySet<WorkerId>;
  random: RandomSource;
}

/** A worker and the reason for choosing it. */
export interface Choice {
  worker: MeshWorker;
  /** Expected time until the response, in ms. */
  expectedMs: number;
  reason: 'local' | 'remote' | 'firstTry' | 'lastResort';
}

interface Candidate {
  worker: MeshWorker;
  expectedMs: number;
  isDoubtful: boolean;
  isFull: boolean;
  isUnknown: boolean;
}

/**
 * Chooses a worker: one in the own data centre as long as the response is
 * expected in time there, otherwise the fastest elsewhere that is in time.
 * When no response can be in time, a crossing gains nothing, so the request
 * stays in the own data centre.
 */
export function chooseWorker(options: ChooseWorkerOptions): Choice | undefined {
  const {workers, tried, random, dataCentre} = options;
  const left = workers.filter(worker => !tried.has(worker.id));
  if (random.nextFloat() < FIRST_TRY_SHARE) {
    const unknown = soundOf(left, options).filter(({isUnknown}) => isUnknown);
    if (unknown.length > 0) {
      return toChoice(unknown[random.nextInt(unknown.length)]!, 'firstTry');
    }
  }
  // Estimates cost time, so those elsewhere are made only when needed.
  const isLocal = (worker: MeshWorker) => worker.dataCentre === dataCentre;
  const local = fastest(soundOf(left.filter(isLocal), options), options);
  const isLocalInTime =
    local !== undefined &&
    !local.isFull &&
    local.expectedMs <= options.leftMs * LOCAL_SHARE;
  if (isLocalInTime) {
    return toChoice(local, 'local');
  }
  const elsewhere = left.filter(worker => !isLocal(worker));
  const soundElsewhere = soundOf(elsewhere, options);
  if (!local && soundElsewhere.length === 0) {
    const candidates = left.map(worker => toCandidate(worker, options));
    const last = fastest(candidates, options);
    return last && toChoice(last, 'lastResort');
  }
  const remote = fastest(
    soundElsewhere.filter(({isFull}) => !isFull),
    options,
  );
  const crossingMs = options.targetLatencyMs * CROSSING_SHARE;
  const isRemoteInTime =
    remote && remote.expectedMs + crossingMs <= options.leftMs * LOCAL_SHARE;
  if (remote && (isRemoteInTime || !local)) {
    return toChoice(remote, 'remote');
  }
  return local && toChoice(local, 'local');
}

function soundOf(
  workers: readonly MeshWorker[],
  options: ChooseWorkerOptions,
): Candidate[] {
  return workers
    .map(worker => toCandidate(worker, options))
    .filter(candidate => !candidate.isDoubtful);
}

function toCandidate(
  worker: MeshWorker,
  options: ChooseWorkerOptions,
): Candidate {
  const load = options.estimate(worker);
  const coldMs =
    worker.coldRemainingMs > 0 ? load.serviceMs * COLD_PENALTY_SHARE : 0;
  // A failed response costs its whole target latency.
  const failureMs = load.failureShare * options.targetLatencyMs;
  return {
    worker,
    expectedMs: load.waitMs + load.serviceMs + coldMs + failureMs,
    isFull: load.isFull,
    isUnknown: load.isUnknown,
    isDoubtful:
      load.isLeaving ||
      load.failureShare > FAILING_SHARE ||
      options.isUnreachable(worker),
  };
}

function fastest(
  candidates: readonly Candidate[],
  options: ChooseWorkerOptions,
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestMs = Infinity;
  for (const candidate of candidates) {
    const noise = 1 + options.random.nextFloat() * NOISE_SHARE;
    const costMs = candidate.expectedMs * noise;
    if (costMs < bestMs) {
      best = candidate;
      bestMs = costMs;
    }
  }
  return best;
}

function toChoice(candidate: Candidate, reason: Choice['reason']): Choice {
  return {worker: candidate.worker, expectedMs: candidate.expectedMs, reason};
}
