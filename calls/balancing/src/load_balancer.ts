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

/** Options of a `Balancer`. */
export interface LoadBalancerOptions {
  dataCentre: DataCentreName;
  clock: Clock;
  random: RandomSource;
  metrics: Metrics;
}

/** Limits on the choice of a worker. */
export interface WorkerConstraints {
  allowOtherDataCentres: boolean;
  /** Workers that this call has tried. */
  triedVmIds: readonly VmId[];
}

const NO_WORKERS: readonly WorkerEndpoint[] = [];
/** Share of a data centre's workers of a service that may be ejected. */
const MAX_EJECTED_SHARE = 0.5;
/** Workers that appear this long after the start begin slowly, ms. */
const SETTLE_MS = 10_000;

/**
 * Chooses the less loaded of two random workers of the own data centre, or of
 * others when the policy allows it and no own one is usable.
 */
export class LoadBalancer {
  readonly #options: LoadBalancerOptions;
  readonly #health = new Map<VmId, WorkerHealth>();
  readonly #startMs: number;
  /** Candidates of the current choice, kept to avoid an allocation. */
  readonly #candidates: WorkerEndpoint[] = [];

  constructor(options: LoadBalancerOptions) {
    this.#options = options;
    this.#startMs = options.clock.monotonicMs();
  }

  chooseWorker(
    workers: readonly WorkerEndpoint[] | undefined,
    limits: WorkerConstraints,
  ): WorkerEndpoint | undefined {
    const nowMs = this.#options.clock.monotonicMs();
    this.#collect(workers ?? NO_WORKERS, limits.triedVmIds, true, nowMs);
    if (this.#candidates.length === 0 && limits.allowOtherDataCentres) {
      this.#collect(workers ?? NO_WORKERS, limits.triedVmIds, false, nowMs);
    }
    return this.#chooseOfTwo(nowMs);
  }

  /** A call is sent to a worker; `end` follows. */
  recordCallStart(vmId: VmId): void {
    this.#healthOf(vmId).inFlightCalls++;
  }

  recordCallEnd(vmId: VmId): void {
    this.#healthOf(vmId).inFlightCalls--;
  }

  reportLoad(vmId: VmId, load: LocalLoad): void {
    const nowMs = this.#options.clock.monotonicMs();
    this.#healthOf(vmId).reportLoad(load, nowMs);
  }

  recordSuccess(vmId: VmId): void {
    this.#healthOf(vmId).recordSuccess(this.#options.clock.monotonicMs());
  }

  /** @param workers all workers of the service, for the ejection limit. */
  recordFailure(
    vmId: VmId,
    workers: readonly WorkerEndpoint[] | undefined,
  ): void {
    const nowMs = this.#options.clock.monotonicMs();
    const health = this.#healthOf(vmId);
    const reason = health.recordFailure(nowMs);
    if (!reason || health.isEjected(nowMs)) {
      return;
    }
    if (this.#mayEject(vmId, workers ?? NO_WORKERS, nowMs)) {
      health.eject(nowMs);
      this.#options.metrics.increment('carobseam_ejections_total', {reason});
    }
  }

  /** The worker's daemon said that it leaves. */
  markLeaving(vmId: VmId): void {
    this.#healthOf(vmId).markLeaving(this.#options.clock.monotonicMs());
  }

  /** Forgets workers that are gone. */
  retainOnly(known: ReadonlySet<VmId>): void {
    for (const [vmId, health] of this.#health) {
      if (!known.has(vmId) && health.inFlightCalls === 0) {
        this.#health.delete(vmId);
      }
    }
  }

  #collect(
    workers: readonly WorkerEndpoint[],
    tried: readonly VmId[],
    ownDataCentre: boolean,
    nowMs: number,
  ): void {
    this.#candidates.length = 0;
    for (const worker of workers) {
      const isOwn = worker.dataCentre === this.#options.dataCentre;
      if (isOwn !== ownDataCentre || worker.leaving) {
        continue;
      }
      const health = this.#healthOf(worker.vmId);
      const isUsable = !health.isEjected(nowMs) && !health.isLeaving(nowMs);
      if (isUsable && !tried.includes(worker.vmId)) {
        this.#candidates.push(worker);
      }
    }
  }

  #chooseOfTwo(nowMs: number): WorkerEndpoint | undefined {
    const candidates = this.#candidates;
    const {random} = this.#options;
    if (candidates.length < 2) {
      return candidates[0];
    }
    const first = random.nextInt(candidates.length);
    const step = 1 + random.nextInt(candidates.length - 1);
    const a = candidates[first]!;
    const b = candidates[(first + step) % candidates.length]!;
    const [healthA, healthB] = [this.#healthOf(a.vmId), this.#healthOf(b.vmId)];
    if (!this.#mayTake(healthA, nowMs)) {
      return b;
    }
    if (!this.#mayTake(healthB, nowMs)) {
      return a;
    }
    return healthB.loadScore(nowMs) < healthA.loadScore(nowMs) ? b : a;
  }

  /** A recovered worker takes a growing share of what it would get. */
  #mayTake(health: WorkerHealth, nowMs: number): boolean {
    const share = health.slowStartShare(nowMs);
    return share === 1 || this.#options.random.nextFloat() < share;
  }

  #mayEject(
    vmId: VmId,
    workers: readonly WorkerEndpoint[],
    nowMs: number,
  ): boolean {
    const dataCentre = workers.find(w => w.vmId === vmId)?.dataCentre;
    const group = workers.filter(w => w.dataCentre === dataCentre);
    const ejected = group.filter(w => this.#healthOf(w.vmId).isEjected(nowMs));
    return ejected.length + 1 <= group.length * MAX_EJECTED_SHARE;
  }

  #healthOf(vmId: VmId): WorkerHealth {
    const known = this.#health.get(vmId);
    if (known) {
      return known;
    }
    const health = new WorkerHealth();
    const nowMs = this.#options.clock.monotonicMs();
    if (nowMs - this.#startMs > SETTLE_MS) {
      health.beginSlowStart(nowMs);
    }
    this.#health.set(vmId, health);
    return health;
  }
}
