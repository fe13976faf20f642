import {
  chooseWorker,
  decideNextStep,
  WorkerLoads,
} from '@carobseam/calls.placement';
import {
  CallerDeadlineTracker,
  computeRetryAfterMs,
} from '@carobseam/calls.relay';
import {
  priorityClassOf,
  WorkerQueue,
  type QueuedRequest,
} from '@carobseam/calls.worker_queue';
import type {
  MeshRoute,
  MeshWorker,
  RouteName,
  WorkerId,
} from '@carobseam/config.mesh';
import {ManualClock, SeededRandom} from '@carobseam/core.clock';
import type {DataCentreName, ServiceName} from '@carobseam/core.types';
import {createRoute} from './route_fixture.js';

/** One kind of request in a simulated load. */
export interface SimulatedRequestKind {
  name: string;
  rank: number;
  workMs: number;
  targetLatencyMs: number;
  deadlineMs: number;
  timeoutMs: number;
  /** Arrival rate at a time since the start, in ms. */
  requestsPerSecond: (nowMs: number) => number;
}

/** Options of `simulateLoad`. */
export interface SimulateLoadOptions {
  seed: number;
  /** Speed of each worker and its data centre. */
  workers: ReadonlyArray<{
    speed: number;
    dataCentre: string;
    /** Requests per second that it accepts; any number when absent. */
    rateLimitPerS?: number;
  }>;
  slots: number;
  /** Data centre of each relay; by default one relay for each worker. */
  relays?: readonly string[];
  kinds: readonly SimulatedRequestKind[];
  durationMs: number;
}

/** Outcomes of the requests of one kind. */
export interface SimulationResult {
  requests: number;
  inTime: number;
  late: number;
  failed: number;
  remoteAttempts: number;
  /** Longest time from an attempt to its refusal, in ms. */
  slowestRefusalMs: number;
  /** Requests of this kind that each worker got. */
  startsByWorker: number[];
}

interface Attempt extends QueuedRequest {
  kind: SimulatedRequestKind;
  firstSentMs: number;
  sentMs: number;
  callerAttempt: number;
  relay: number;
  worker: number;
  unsentAttempts: number;
  triedWorkerIds: Set<WorkerId>;
}

const CALLER_RETRIES = 2; // as the users' specification states
const ROUND_TRIP_MS = 3; // between two data centres
const DRAIN_MS = 2000;
const WORK_SPREAD = 0.3; // of the mean, as the users' specification states

/**
 * Simulates callers, relays and workers in virtual time. Worker choice, queues,
 * caller deadlines and Retry-After come from the production code.
 */
export function simulateLoad(
  options: SimulateLoadOptions,
): Map<string, SimulationResult> {
  return new LoadSimulator(options).run();
}

class LoadSimulator {
  readonly #options: SimulateLoadOptions;
  readonly #clock = new ManualClock();
  readonly #random: SeededRandom;
  readonly #workers: MeshWorker[];
  readonly #relays: readonly string[];
  readonly #queues: Array<WorkerQueue<Attempt>>;
  readonly #workerLoads: WorkerLoads[];
  readonly #callerDeadlines = new CallerDeadlineTracker(this.#clock);
  readonly #results = new Map<string, SimulationResult>();

  constructor(options: SimulateLoadOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    this.#workers = options.workers.map(({dataCentre}, index) => ({
      id: `i-${index}` as WorkerId,
      service: 'desk' as ServiceName,
      address: `10.0.0.${index}:80`,
      dataCentre: dataCentre as DataCentreName,
      slots: options.slots,
      isLeaving: false,
      coldRemainingMs: 0,
      bornMs: 0,
    }));
    this.#relays =
      options.relays ?? options.workers.map(({dataCentre}) => dataCentre);
    this.#workerLoads = this.#relays.map(
      () => new WorkerLoads(this.#clock, DRAIN_MS),
    );
    this.#queues = options.workers.map(({rateLimitPerS}) =>
      this.#createQueue(rateLimitPerS),
    );
    for (const kind of options.kinds) {
      this.#results.set(kind.name, {
        requests: 0,
        inTime: 0,
        late: 0,
        failed: 0,
        remoteAttempts: 0,
        slowestRefusalMs: 0,
        startsByWorker: options.workers.map(() => 0),
      });
    }
  }

  run(): Map<string, SimulationResult> {
    this.#options.kinds.forEach(kind => this.#scheduleArrival(kind));
    const longestDeadlineMs = Math.max(
      ...this.#options.kinds.map(k => k.deadlineMs),
    );
    this.#clock.advance(this.#options.durationMs + longestDeadlineMs);
    return this.#results;
  }

  #createQueue(rateLimitPerS?: number): WorkerQueue<Attempt> {
    const queue = new WorkerQueue<Attempt>({
      clock: this.#clock,
      start: attempt => this.#startWork(attempt),
      refuse: (attempt, _reason, waitMs) =>
        this.#handleRefusal(attempt, waitMs),
    });
    queue.setSlots(this.#options.slots);
    queue.setRateLimit(rateLimitPerS);
    return queue;
  }

  #scheduleArrival(kind: SimulatedRequestKind): void {
    const interarrivalMs =
      -Math.log(1 - this.#random.nextFloat()) *
      (1000 / kind.requestsPerSecond(this.#clock.monotonicMs()));
    this.#clock.setTimer(interarrivalMs, () => {
      const nowMs = this.#clock.monotonicMs();
      if (nowMs > this.#options.durationMs) {
        return;
      }
      this.#results.get(kind.name)!.requests++;
      const relay = this.#random.nextInt(this.#relays.length);
      this.#send(kind, nowMs, 0, relay);
      this.#scheduleArrival(kind);
    });
  }

  #send(
    kind: SimulatedRequestKind,
    firstSentMs: number,
    callerAttempt: number,
    relay: number,
  ): void {
    const nowMs = this.#clock.monotonicMs();
    const deadlineMs = kind.deadlineMs - (nowMs - firstSentMs);
    const callerDeadline = this.#callerDeadlines.estimate(
      routeOf(kind),
      deadlineMs,
    );
    this.#dispatch({
      kind,
      firstSentMs,
      sentMs: nowMs,
      callerAttempt,
      relay,
      worker: -1,
      unsentAttempts: 0,
      triedWorkerIds: new Set(),
      rank: kind.rank,
      isLastCallerAttempt: callerDeadline.isLastCallerAttempt,
      dueAtMs: nowMs + callerDeadline.dueInMs,
      expiresAtMs: nowMs + Math.min(deadlineMs, kind.timeoutMs),
    });
  }

  #dispatch(attempt: Attempt): void {
    const workerLoads = this.#workerLoads[attempt.relay]!;
    const choice = chooseWorker({
      workers: this.#workers,
      dataCentre: this.#relays[attempt.relay]! as DataCentreName,
      dueInMs: attempt.dueAtMs - this.#clock.monotonicMs(),
      targetLatencyMs: attempt.kind.targetLatencyMs,
      estimate: worker =>
        workerLoads.estimate(
          worker,
          priorityClassOf(attempt),
          attempt.kind.targetLatencyMs / 3,
        ),
      isUnreachable: () => false,
      isCutOff: () => false,
      hasLeft: () => false,
      triedWorkerIds: attempt.triedWorkerIds,
      random: this.#random,
    });
    if (!choice) {
      this.#refuseToCaller(attempt, 0);
      return;
    }
    attempt.triedWorkerIds.add(choice.worker.id);
    attempt.worker = this.#workers.indexOf(choice.worker);
    if (choice.reason === 'remote') {
      this.#results.get(attempt.kind.name)!.remoteAttempts++;
    }
    workerLoads.recordAttemptStart(choice.worker.id);
    this.#clock.setTimer(ROUND_TRIP_MS, () => this.#submit(attempt));
  }

  #submit(attempt: Attempt): void {
    const queue = this.#queues[attempt.worker]!;
    const submitted = queue.submit(attempt);
    if (submitted.kind === 'start') {
      this.#startWork(attempt);
    } else if (submitted.kind === 'refused') {
      this.#handleRefusal(attempt, submitted.retryAfterMs);
    }
  }

  #startWork(attempt: Attempt): void {
    const {speed} = this.#options.workers[attempt.worker]!;
    this.#results.get(attempt.kind.name)!.startsByWorker[attempt.worker]!++;
    const spread = 1 + (this.#random.nextFloat() * 2 - 1) * WORK_SPREAD;
    const durationMs = (attempt.kind.workMs * spread) / speed;
    this.#clock.setTimer(durationMs, () => {
      const queue = this.#queues[attempt.worker]!;
      queue.estimate.recordSuccess(priorityClassOf(attempt), durationMs);
      queue.release();
      this.#reportLoad(attempt);
      const latencyMs = this.#clock.monotonicMs() - attempt.firstSentMs;
      const result = this.#results.get(attempt.kind.name)!;
      if (latencyMs > attempt.kind.deadlineMs) {
        result.failed++;
      } else if (latencyMs > attempt.kind.targetLatencyMs) {
        result.late++;
      } else {
        result.inTime++;
      }
    });
  }

  #reportLoad(attempt: Attempt): void {
    const {id} = this.#workers[attempt.worker]!;
    const workerLoads = this.#workerLoads[attempt.relay]!;
    workerLoads.recordAttemptEnd(id);
    workerLoads.recordReport(id, this.#queues[attempt.worker]!.load);
  }

  #handleRefusal(attempt: Attempt, waitMs: number): void {
    this.#reportLoad(attempt);
    const {id} = this.#workers[attempt.worker]!;
    this.#workerLoads[attempt.relay]!.recordRefusal(
      id,
      priorityClassOf(attempt),
    );
    attempt.unsentAttempts++;
    const step = decideNextStep({
      outcome: 'notSent',
      isIdempotent: true,
      canResend: true,
      sentAttempts: 0,
      maxAttempts: 2,
      mayHaveRun: false,
      unsentAttempts: attempt.unsentAttempts,
      expiresInMs: attempt.expiresAtMs - this.#clock.monotonicMs(),
      takeRetry: () => false,
    });
    if (step === 'sendAgain') {
      this.#dispatch(attempt);
    } else {
      this.#refuseToCaller(attempt, waitMs);
    }
  }

  #refuseToCaller(attempt: Attempt, waitMs: number): void {
    const nowMs = this.#clock.monotonicMs();
    const {kind, firstSentMs} = attempt;
    const result = this.#results.get(kind.name)!;
    result.slowestRefusalMs = Math.max(
      result.slowestRefusalMs,
      nowMs - attempt.sentMs,
    );
    const callerRemainingMs = kind.deadlineMs - (nowMs - firstSentMs);
    if (attempt.callerAttempt >= CALLER_RETRIES || callerRemainingMs <= 0) {
      result.failed++;
      return;
    }
    const afterMs = computeRetryAfterMs({
      dueInMs: attempt.dueAtMs - nowMs,
      isCallerRetry: attempt.callerAttempt > 0,
      callerRemainingMs,
      waitMs,
      serviceMs: kind.targetLatencyMs / 2,
      random: this.#random,
    });
    this.#clock.setTimer(afterMs, () =>
      this.#send(kind, firstSentMs, attempt.callerAttempt + 1, attempt.relay),
    );
  }
}

function routeOf(kind: SimulatedRequestKind): MeshRoute {
  const {timeoutMs, targetLatencyMs, rank} = kind;
  const name = kind.name as RouteName;
  return createRoute({name, timeoutMs, targetLatencyMs, rank});
}
