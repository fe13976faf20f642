import type {MeshWorker, WorkerId} from '@carobseam/config.mesh';
import type {WorkerLoad} from '@carobseam/calls.worker_queue';
import type {Clock} from '@carobseam/core.types';

const REPORT_TTL_MS = 2000; // a full queue is served several times within it, so an older report says little about the queue
const DEFAULT_SERVICE_MS = 200; // mean of the work times in the users' specification
const CONTENTION_THRESHOLD = 0.8; // share of busy slots above which requests of several relays compete for the same slots
const CONTENTION_COST_SHARE = 0.2; // of the service time, when all slots are busy
const FULL_MS = 200; // a tenth of the slots becomes free within it; a longer time would leave slots unused

interface WorkerState {
  report?: WorkerLoad;
  reportedMs: number;
  /** Requests in flight from this relay to the worker. */
  ownInFlight: number;
  /** Value of `ownInFlight` at the time of the report. */
  ownInFlightAtReport: number;
  isAddressStale: boolean;
  /**
   * Until when the worker counts as full, for each priority class, on the
   * monotonic clock.
   */
  fullUntilMs: number[];
}

/** Expected latency of a request at a worker. */
export interface LoadEstimate {
  waitMs: number;
  serviceMs: number;
  failureShare: number;
  /** Whether it has just refused a request of the same priority class. */
  isFull: boolean;
  /**
   * Whether a request should find out the worker's load: none was reported yet,
   * or the last report has expired and would keep requests away.
   */
  isLoadUnknown: boolean;
  isLeaving: boolean;
}

/**
 * Load of each worker as seen by this relay: the loads that the workers' relays
 * reported with their responses, and this relay's own requests in flight.
 */
export class WorkerLoads {
  readonly #clock: Clock;
  readonly #byWorker = new Map<WorkerId, WorkerState>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  recordAttemptStart(id: WorkerId): void {
    this.#stateOf(id).ownInFlight++;
  }

  recordAttemptEnd(id: WorkerId): void {
    const state = this.#stateOf(id);
    state.ownInFlight = Math.max(0, state.ownInFlight - 1);
  }

  /** Records the load that the worker's relay reported with a response. */
  recordReport(id: WorkerId, report: WorkerLoad): void {
    const state = this.#stateOf(id);
    state.report = report;
    state.reportedMs = this.#clock.monotonicMs();
    state.ownInFlightAtReport = state.ownInFlight;
  }

  /**
   * Marks the worker as full for a priority class after it refused a request.
   */
  recordRefusal(id: WorkerId, priorityClass: number): void {
    this.#stateOf(id).fullUntilMs[priorityClass] =
      this.#clock.monotonicMs() + FULL_MS;
  }

  /**
   * Marks the worker's address as stale after another worker responded there.
   */
  markAddressStale(id: WorkerId): void {
    this.#stateOf(id).isAddressStale = true;
  }

  /**
   * Records that the worker's entry was written again. This clears the stale
   * mark and a reported `isLeaving`.
   */
  recordEntryWritten(id: WorkerId): void {
    const state = this.#byWorker.get(id);
    if (!state) {
      return;
    }
    state.isAddressStale = false;
    if (state.report?.isLeaving) {
      state.report = {...state.report, isLeaving: false};
    }
  }

  remove(id: WorkerId): void {
    this.#byWorker.delete(id);
  }

  /**
   * Estimates the latency of a request at a worker. An expired report remains
   * in use, so that a loaded worker does not look idle when it falls silent.
   *
   * @param priorityClass class of the request in the worker's queue.
   */
  estimate(worker: MeshWorker, priorityClass: number): LoadEstimate {
    const nowMs = this.#clock.monotonicMs();
    const state = this.#byWorker.get(worker.id);
    const report = state?.report;
    const isExpired = !state || nowMs - state.reportedMs >= REPORT_TTL_MS;
    const meanMs = report?.meanServiceMs ?? DEFAULT_SERVICE_MS;
    const busy = state
      ? countBusy(state, {isExpired, slots: worker.slots, priorityClass})
      : 0;
    const waitRounds = Math.max(0, busy + 1 - worker.slots) / worker.slots;
    // Requests to a nearly full worker may have to wait for a moment.
    const waitMs =
      waitRounds * meanMs + contentionMs(busy, worker.slots, meanMs);
    const serviceMs = report?.serviceMs[priorityClass] || meanMs;
    const failureShare = report?.failureShare ?? 0;
    const isLeavingByEntry = worker.isLeaving || state?.isAddressStale === true;
    const isLeaving = isLeavingByEntry || report?.isLeaving === true;
    const isAvoided =
      isLeaving || failureShare > 0 || waitMs + serviceMs > DEFAULT_SERVICE_MS;
    const isWorthRetry = isExpired && isAvoided && state?.ownInFlight === 0;
    return {
      waitMs,
      serviceMs,
      failureShare,
      isLoadUnknown: !isLeavingByEntry && (!report || isWorthRetry),
      isFull: (state?.fullUntilMs[priorityClass] ?? 0) > nowMs,
      isLeaving,
    };
  }

  #stateOf(id: WorkerId): WorkerState {
    let state = this.#byWorker.get(id);
    if (!state) {
      state = {
        reportedMs: -Infinity,
        ownInFlight: 0,
        ownInFlightAtReport: 0,
        isAddressStale: false,
        fullUntilMs: [],
      };
      this.#byWorker.set(id, state);
    }
    return state;
  }
}

interface BusyCountOptions {
  isExpired: boolean;
  slots: number;
  priorityClass: number;
}

/**
 * Counts the requests at a worker that are served before a new one. Those of an
 * expired report count as at most one full set of busy slots.
 */
function countBusy(state: WorkerState, options: BusyCountOptions): number {
  const {report, ownInFlight, ownInFlightAtReport} = state;
  if (!report) {
    return ownInFlight;
  }
  const reported =
    report.running + countAhead(report.queued, options.priorityClass);
  const newOwn = ownInFlight - ownInFlightAtReport;
  if (!options.isExpired) {
    return reported + newOwn;
  }
  const remaining = Math.min(reported, options.slots);
  return Math.max(ownInFlight, remaining + Math.max(0, newOwn));
}

function contentionMs(busy: number, slots: number, serviceMs: number): number {
  const share = Math.min(1, busy / slots);
  const excess =
    Math.max(0, share - CONTENTION_THRESHOLD) / (1 - CONTENTION_THRESHOLD);
  return excess * CONTENTION_COST_SHARE * serviceMs;
}

/**
 * Counts the queued requests that are served before a new one of a priority
 * class.
 */
function countAhead(queued: readonly number[], priorityClass: number): number {
  return queued
    .slice(0, priorityClass + 1)
    .reduce((sum, count) => sum + count, 0);
}
