import type {LocalLoad} from '@carobseam/calls.types';
import type {Metrics} from '@carobseam/core.metrics';
import type {
  Clock,
  DataCentreName,
  RandomSource,
  VmId,
} from '@carobseam/core.types';
import type {WorkerEndpoint} from '@carobseam/fleet.types';
import {WorkerHealth} from './worker_health.js';

export interface LoadBalancerOptions {
  dataCentre: DataCentreName;
  clock: Clock;
  random: RandomSource;
  metrics: Metrics;
}

/** Constraints on the choice of a worker. */
export interface WorkerConstraints {
  allowOtherDataCentres: boolean;
  /** Workers that this call has already tried. */
  triedVmIds: readonly VmId[];
}

const NO_WORKERS: readonly WorkerEndpoint[] = [];
/** Share of the workers of a service and data centre that may be ejected. */
const MAX_EJECTED_SHARE = 0.5;
// Workers that first appear after this time since the start of this daemon get
// a slow start.
const STARTUP_PERIOD_MS = 10_000;

/**
 * Load balancer with outlier ejection. It chooses the less loaded of two random
 * workers of this daemon's data centre. When none of these is usable and the
 * policy allows it, it chooses from other data centres.
 */
export class LoadBalancer {
  readonly #options: LoadBalancerOptions;
  readonly #health = new Map<VmId, WorkerHealth>();
  readonly #startMs: number;
  /** Candidates of the current choice; reused to avoid an allocation. */
  readonly #candidates: WorkerEndpoint[] = [];

  constructor(options: LoadBalancerOptions) {
    this.#options = options;
    this.#startMs = options.clock.monotonicMs();
  }

  chooseWorker(
    workers: readonly WorkerEndpoint[] | undefined,
    constraints: WorkerConstraints,
  ): WorkerEndpoint | undefined {
    const nowMs = this.#options.clock.monotonicMs();
    this.#collectCandidates(
      workers ?? NO_WORKERS,
      constraints.triedVmIds,
      true,
      nowMs,
    );
    if (this.#candidates.length === 0 && constraints.allowOtherDataCentres) {
      this.#collectCandidates(
        workers ?? NO_WORKERS,
        constraints.triedVmIds,
        false,
        nowMs,
      );
    }
    return this.#chooseLessLoadedOfTwo(nowMs);
  }

  /** Counts a call in flight until `recordCallEnd`. */
  recordCallStart(vmId: VmId): void {
    this.#getHealth(vmId).inFlightCalls++;
  }

  recordCallEnd(vmId: VmId): void {
    this.#getHealth(vmId).inFlightCalls--;
  }

  reportLoad(vmId: VmId, load: LocalLoad): void {
    const nowMs = this.#options.clock.monotonicMs();
    this.#getHealth(vmId).reportLoad(load, nowMs);
  }

  recordSuccess(vmId: VmId): void {
    this.#getHealth(vmId).recordSuccess(this.#options.clock.monotonicMs());
  }

  /**
   * Records a failure and ejects the worker if it has too many.
   *
   * @param workers all workers of the service, for the ejection limit.
   */
  recordFailure(
    vmId: VmId,
    workers: readonly WorkerEndpoint[] | undefined,
  ): void {
    const nowMs = this.#options.clock.monotonicMs();
    const health = this.#getHealth(vmId);
    const reason = health.recordFailure(nowMs);
    if (!reason || health.isEjected(nowMs)) {
      return;
    }
    if (this.#canEject(vmId, workers ?? NO_WORKERS, nowMs)) {
      health.eject(nowMs);
      this.#options.metrics.increment('carobseam_ejections_total', {reason});
    }
  }

  /** Excludes a worker whose daemon has reported that it is shutting down. */
  markLeaving(vmId: VmId): void {
    this.#getHealth(vmId).markLeaving(this.#options.clock.monotonicMs());
  }

  /** Removes the state of all other workers, except those with calls. */
  retainOnly(vmIds: ReadonlySet<VmId>): void {
    for (const [vmId, health] of this.#health) {
      if (!vmIds.has(vmId) && health.inFlightCalls === 0) {
        this.#health.delete(vmId);
      }
    }
  }

  #collectCandidates(
    workers: readonly WorkerEndpoint[],
    triedVmIds: readonly VmId[],
    isOwnDataCentre: boolean,
    nowMs: number,
  ): void {
    this.#candidates.length = 0;
    for (const worker of workers) {
      const isOwn = worker.dataCentre === this.#options.dataCentre;
      if (isOwn !== isOwnDataCentre || worker.leaving) {
        continue;
      }
      const health = this.#getHealth(worker.vmId);
      const isUsable = !health.isEjected(nowMs) && !health.isLeaving(nowMs);
      if (isUsable && !triedVmIds.includes(worker.vmId)) {
        this.#candidates.push(worker);
      }
    }
  }

  #chooseLessLoadedOfTwo(nowMs: number): WorkerEndpoint | undefined {
    const candidates = this.#candidates;
    const {random} = this.#options;
    if (candidates.length < 2) {
      return candidates[0];
    }
    const first = random.nextInt(candidates.length);
    const step = 1 + random.nextInt(candidates.length - 1);
    const a = candidates[first]!;
    const b = candidates[(first + step) % candidates.length]!;
    const [healthA, healthB] = [
      this.#getHealth(a.vmId),
      this.#getHealth(b.vmId),
    ];
    if (!this.#acceptsDuringSlowStart(healthA, nowMs)) {
      return b;
    }
    if (!this.#acceptsDuringSlowStart(healthB, nowMs)) {
      return a;
    }
    return healthB.loadScore(nowMs) < healthA.loadScore(nowMs) ? b : a;
  }

  /** During its slow start a worker accepts a growing share of its calls. */
  #acceptsDuringSlowStart(health: WorkerHealth, nowMs: number): boolean {
    const share = health.slowStartShare(nowMs);
    return share === 1 || this.#options.random.nextFloat() < share;
  }

  #canEject(
    vmId: VmId,
    workers: readonly WorkerEndpoint[],
    nowMs: number,
  ): boolean {
    const dataCentre = workers.find(w => w.vmId === vmId)?.dataCentre;
    const group = workers.filter(w => w.dataCentre === dataCentre);
    const ejected = group.filter(w => this.#getHealth(w.vmId).isEjected(nowMs));
    return ejected.length + 1 <= group.length * MAX_EJECTED_SHARE;
  }

  #getHealth(vmId: VmId): WorkerHealth {
    const existing = this.#health.get(vmId);
    if (existing) {
      return existing;
    }
    const health = new WorkerHealth();
    const nowMs = this.#options.clock.monotonicMs();
    if (nowMs - this.#startMs > STARTUP_PERIOD_MS) {
      health.beginSlowStart(nowMs);
    }
    this.#health.set(vmId, health);
    return health;
  }
}
