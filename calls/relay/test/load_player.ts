import {
  chooseWorker,
  decideNextStep,
  WorkerLoads,
} from '@carobseam/calls.placement';
import {CallerDeadlineTracker, retryAfterMs} from '@carobseam/calls.relay';
import {
  orderClassOf,
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

/** One kind of request of a played load. */
export interface PlayedKind {
  name: string;
  rank: number;
  workMs: number;
  targetLatencyMs: number;
  deadlineMs: number;
  timeoutMs: number;
  /** Requests a second at a time since the start, in ms. */
  perS: (nowMs: number) => number;
}

/** Options of `playLoad`. */
export interface PlayLoadOptions {
  seed: number;
  /** Speed of each worker and its data centre. */
  workers: ReadonlyArray<{speed: number; dataCentre: string}>;
  slots: number;
  /** Data centre of each relay; one relay beside each worker by default. */
  relays?: readonly string[];
  kinds: readonly PlayedKind[];
  durationMs: number;
}

/** What the callers of one kind got. */
export interface PlayedResult {
  asked: number;
  inTime: number;
  late: number;
  failed: number;
  crossings: number;
  /** Longest time from an attempt to its refusal, in ms. */
  slowestRefusalMs: number;
}

interface Attempt extends QueuedRequest {
  kind: PlayedKind;
  firstMs: number;
  sentMs: number;
  attempt: number;
  relay: number;
  worker: number;
  offers: number;
  tried: Set<WorkerId>;
}

const CALLER_RETRIES = 2; // as the users' sheets say
const HOP_MS = 3; // between two data centres and back
const WORK_SPREAD = 0.3; // of the mean, as the users' sheets say

/** Plays a load in virtual time against the code that decides. */
export function playLoad(options: PlayLoadOptions): Map<string, PlayedResult> {
  return new LoadPlayer(options).play();
}

class LoadPlayer {
  readonly #options: PlayLoadOptions;
  readonly #clock = new ManualClock();
  readonly #random: SeededRandom;
  readonly #workers: MeshWorker[];
  readonly #relays: readonly string[];
  readonly #queues: Array<WorkerQueue<Attempt>>;
  readonly #loads: WorkerLoads[];
  readonly #patience = new CallerDeadlineTracker(this.#clock);
  readonly #results = new Map<string, PlayedResult>();

  constructor(options: PlayLoadOptions) {
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
    this.#loads = this.#relays.map(() => new WorkerLoads(this.#clock));
    this.#queues = options.workers.map(() => this.#createQueue());
    for (const kind of options.kinds) {
      this.#results.set(kind.name, {
        asked: 0,
        inTime: 0,
        late: 0,
        failed: 0,
        crossings: 0,
        slowestRefusalMs: 0,
      });
    }
  }

  play(): Map<string, PlayedResult> {
    this.#options.kinds.forEach(kind => this.#scheduleArrival(kind));
    const tailMs = Math.max(...this.#options.kinds.map(k => k.deadlineMs));
    this.#clock.advance(this.#options.durationMs + tailMs);
    return this.#results;
  }

  #createQueue(): WorkerQueue<Attempt> {
    const queue = new WorkerQueue<Attempt>({
      clock: this.#clock,
      start: attempt => this.#run(attempt),
      refuse: (attempt, _reason, waitMs) => this.#refused(attempt, waitMs),
    });
    queue.setSlots(this.#options.slots);
    return queue;
  }

  #scheduleArrival(kind: PlayedKind): void {
    const gapMs =
      -Math.log(1 - this.#random.nextFloat()) *
      (1000 / kind.perS(this.#clock.monotonicMs()));
    this.#clock.setTimer(gapMs, () => {
      const nowMs = this.#clock.monotonicMs();
      if (nowMs > this.#options.durationMs) {
        return;
      }
      this.#results.get(kind.name)!.asked++;
      const relay = this.#random.nextInt(this.#relays.length);
      this.#send(kind, nowMs, 0, relay);
      this.#scheduleArrival(kind);
    });
  }

  #send(
    kind: PlayedKind,
    firstMs: number,
    attempt: number,
    relay: number,
  ): void {
    const nowMs = this.#clock.monotonicMs();
    const deadlineMs = kind.deadlineMs - (nowMs - firstMs);
    const patience = this.#patience.of(routeOf(kind), deadlineMs);
    this.#place({
      kind,
      firstMs,
      sentMs: nowMs,
      attempt,
      relay,
      worker: -1,
      offers: 0,
      tried: new Set(),
      rank: kind.rank,
      isLastChance: patience.isLastChance,
      dueMs: nowMs + patience.dueInMs,
      expiresMs: nowMs + Math.min(deadlineMs, kind.timeoutMs),
    });
  }

  #place(attempt: Attempt): void {
    const loads = this.#loads[attempt.relay]!;
    const choice = chooseWorker({
      workers: this.#workers,
      dataCentre: this.#relays[attempt.relay]! as DataCentreName,
      leftMs: attempt.dueMs - this.#clock.monotonicMs(),
      targetLatencyMs: attempt.kind.targetLatencyMs,
      estimate: worker => loads.estimate(worker, orderClassOf(attempt)),
      isUnreachable: () => false,
      tried: attempt.tried,
      random: this.#random,
    });
    if (!choice) {
      this.#tellCaller(attempt, 0);
      return;
    }
    attempt.tried.add(choice.worker.id);
    attempt.worker = this.#workers.indexOf(choice.worker);
    if (choice.reason === 'remote') {
      this.#results.get(attempt.kind.name)!.crossings++;
    }
    loads.sent(choice.worker.id);
    this.#clock.setTimer(HOP_MS, () => this.#offer(attempt));
  }

  #offer(attempt: Attempt): void {
    const queue = this.#queues[attempt.worker]!;
    const answer = queue.offer(attempt);
    if (answer.kind === 'start') {
      this.#run(attempt);
    } else if (answer.kind === 'refused') {
      this.#refused(attempt, answer.retryAfterMs);
    }
  }

  #run(attempt: Attempt): void {
    const {speed} = this.#options.workers[attempt.worker]!;
    const spread = 1 + (this.#random.nextFloat() * 2 - 1) * WORK_SPREAD;
    const durationMs = (attempt.kind.workMs * spread) / speed;
    this.#clock.setTimer(durationMs, () => {
      const queue = this.#queues[attempt.worker]!;
      queue.estimate.succeeded(orderClassOf(attempt), durationMs);
      queue.finished();
      this.#report(attempt);
      const tookMs = this.#clock.monotonicMs() - attempt.firstMs;
      const result = this.#results.get(attempt.kind.name)!;
      if (tookMs > attempt.kind.deadlineMs) {
        result.failed++;
      } else if (tookMs > attempt.kind.targetLatencyMs) {
        result.late++;
      } else {
        result.inTime++;
      }
    });
  }

  #report(attempt: Attempt): void {
    const {id} = this.#workers[attempt.worker]!;
    const loads = this.#loads[attempt.relay]!;
    loads.finished(id);
    loads.reported(id, this.#queues[attempt.worker]!.load);
  }

  #refused(attempt: Attempt, waitMs: number): void {
    this.#report(attempt);
    const {id} = this.#workers[attempt.worker]!;
    this.#loads[attempt.relay]!.refused(id, orderClassOf(attempt));
    attempt.offers++;
    const step = decideNextStep({
      outcome: 'notSent',
      isIdempotent: true,
      sends: 0,
      maxAttempts: 2,
      mayHaveRun: false,
      offers: attempt.offers,
      leftMs: attempt.expiresMs - this.#clock.monotonicMs(),
      takeRepeat: () => false,
    });
    if (step === 'sendAgain') {
      this.#place(attempt);
    } else {
      this.#tellCaller(attempt, waitMs);
    }
  }

  #tellCaller(attempt: Attempt, waitMs: number): void {
    const nowMs = this.#clock.monotonicMs();
    const {kind, firstMs} = attempt;
    const result = this.#results.get(kind.name)!;
    result.slowestRefusalMs = Math.max(
      result.slowestRefusalMs,
      nowMs - attempt.sentMs,
    );
    const callerLeftMs = kind.deadlineMs - (nowMs - firstMs);
    if (attempt.attempt >= CALLER_RETRIES || callerLeftMs <= 0) {
      result.failed++;
      return;
    }
    const afterMs = retryAfterMs({
      dueInMs: attempt.dueMs - nowMs,
      hasReturned: attempt.attempt > 0,
      callerLeftMs,
      waitMs,
      serviceMs: kind.targetLatencyMs / 2,
      random: this.#random,
    });
    this.#clock.setTimer(afterMs, () =>
      this.#send(kind, firstMs, attempt.attempt + 1, attempt.relay),
    );
  }
}

function routeOf(kind: PlayedKind): MeshRoute {
  const {timeoutMs, targetLatencyMs, rank} = kind;
  const name = kind.name as RouteName;
  return createRoute({name, timeoutMs, targetLatencyMs, rank});
}
