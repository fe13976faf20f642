import type {MeshWorker, WorkerId} from '@carobseam/config.mesh';
import type {WorkerLoad} from '@carobseam/calls.worker_queue';
import type {Clock} from '@carobseam/core.types';

const REPORT_TTL_MS = 2000; // a queue of full slots turns over several times in it
const DEFAULT_SERVICE_MS = 200; // mean of the work times that the users' sheets state
const CROWDED_SHARE = 0.8; // above it, requests of several daemons begin to collide
const CROWDING_SHARE = 0.2; // of the service time, at full slots
const FULL_MS = 200; // a tenth of the slots is freed in it; longer would leave slots empty

interface KnownLoad {
  report?: WorkerLoad;
  reportedMs: number;
  /** Requests of this process that are with the worker now. */
  own: number;
  /** The same at the time of the report. */
  ownAtReport: number;
  isMisplaced: boolean;
  /** Until when the worker counts as full, for each class. */
  fullUntilMs: number[];
}

/** Expected time of a request at one worker. */
export interface LoadEstimate {
  waitMs: number;
  serviceMs: number;
  failureShare: number;
  /** Whether it has just refused a request of the same class. */
  isFull: boolean;
  /** Whether the worker's daemon has never reported a load. */
  isUnknown: boolean;
  isLeaving: boolean;
}

/** What this process knows of the load of each worker. */
export class WorkerLoads {
  readonly #clock: Clock;
  readonly #byWorker = new Map<WorkerId, KnownLoad>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  sent(id: WorkerId): void {
    this.#known(id).own++;
  }

  finished(id: WorkerId): void {
    const known = this.#known(id);
    known.own = Math.max(0, known.own - 1);
  }

  /** Takes the load that the worker's daemon reported with a response. */
  reported(id: WorkerId, report: WorkerLoad): void {
    const known = this.#known(id);
    known.report = report;
    known.reportedMs = this.#clock.monotonicMs();
    known.ownAtReport = known.own;
  }

  /** The worker's daemon had no place in time for a request of a class. */
  refused(id: WorkerId, orderClass: number): void {
    this.#known(id).fullUntilMs[orderClass] =
      this.#clock.monotonicMs() + FULL_MS;
  }

  /** Another worker answered at the address of this one. */
  markAddressStale(id: WorkerId): void {
    this.#known(id).isMisplaced = true;
  }

  /** The worker wrote its entry again. */
  clearAddressStale(id: WorkerId): void {
    const known = this.#byWorker.get(id);
    if (known) {
      known.isMisplaced = false;
    }
  }

  remove(id: WorkerId): void {
    this.#byWorker.delete(id);
  }

  /**
   * Expected time of a request at a worker.
   *
   * @param orderClass class of the request in the worker's queue.
   */
  estimate(worker: MeshWorker, orderClass: number): LoadEstimate {
    const known = this.#byWorker.get(worker.id);
    const report = this.#freshReport(known);
    const own = known?.own ?? 0;
    const meanMs = report?.meanServiceMs ?? DEFAULT_SERVICE_MS;
    const busy = report
      ? report.running +
        countAhead(report.queued, orderClass) +
        own -
        known!.ownAtReport
      : own;
    const rounds = Math.max(0, busy + 1 - worker.slots) / worker.slots;
    return {
      // A nearly full worker makes requests wait for moments at a time.
      waitMs: rounds * meanMs + crowdingMs(busy, worker.slots, meanMs),
      serviceMs: report?.serviceMs[orderClass] || meanMs,
      failureShare: report?.failureShare ?? 0,
      isUnknown: known?.report === undefined,
      isFull: (known?.fullUntilMs[orderClass] ?? 0) > this.#clock.monotonicMs(),
      isLeaving:
        worker.isLeaving ||
        known?.isMisplaced === true ||
        report?.isLeaving === true,
    };
  }

  #freshReport(known: KnownLoad | undefined): WorkerLoad | undefined {
    const isFresh =
      known?.report &&
      this.#clock.monotonicMs() - known.reportedMs < REPORT_TTL_MS;
    return isFresh ? known.report : undefined;
  }

  #known(id: WorkerId): KnownLoad {
    let known = this.#byWorker.get(id);
    if (!known) {
      known = {
        reportedMs: -Infinity,
        own: 0,
        ownAtReport: 0,
        isMisplaced: false,
        fullUntilMs: [],
      };
      this.#byWorker.set(id, known);
    }
    return known;
  }
}

function crowdingMs(busy: number, slots: number, serviceMs: number): number {
  const share = Math.min(1, busy / slots);
  const excess = Math.max(0, share - CROWDED_SHARE) / (1 - CROWDED_SHARE);
  return excess * CROWDING_SHARE * serviceMs;
}

/** Waiting requests that go before a new one of a class. */
function countAhead(queued: readonly number[], orderClass: number): number {
  return queued.slice(0, orderClass + 1).reduce((sum, count) => sum + count, 0);
}
