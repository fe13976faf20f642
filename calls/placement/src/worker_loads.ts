import type {MeshWorker, WorkerId} from '@carobseam/config.mesh';
import type {WorkerLoad} from '@carobseam/calls.worker_queue';
import type {Clock} from '@carobseam/core.types';

const REPORT_TTL_MS = 2000; // a full queue is served several times within it, so an older report says little
const CONTENTION_THRESHOLD = 0.8; // share of busy slots above which requests of several relays compete for the same slots
const CONTENTION_COST_SHARE = 0.2; // of the service time, when all slots are busy
const LEFT_TTL_MS = 60_000; // workers serve on for many seconds after their entries were removed
const DOWN_MS = 500; // a crashed worker is back after some seconds; each relay tries it twice a second
const FULL_MS = 200; // a tenth of the slots becomes free within it; a longer time would leave slots unused

/**
 * Share of the time within which a leaving worker must be left alone that passes
 * before requests to it are refused. The rest covers the delay of the source of
 * worker entries and relays that read it but are unresponsive.
 */
export const DRAIN_DELAY_SHARE = 0.2;

/** A worker that has stated that it is about to exit. */
interface LeavingMark {
  bornMs: number;
  sinceMs: number;
  /** When its entry was removed, on the monotonic clock, in ms. */
  removedMs?: number;
}

const MS_PER_S = 1000;

interface WorkerState {
  report?: WorkerLoad;
  reportedMs: number;
  /** Requests in flight from this relay to the worker. */
  ownInFlight: number;
  /** Value of `ownInFlight` at the time of the report. */
  ownInFlightAtReport: number;
  /** Attempts of this relay that started after the report. */
  startedSinceReport: number;
  isAddressStale: boolean;
  /**
   * Until when the worker counts as full, for each priority class, on the
   * monotonic clock.
   */
  fullUntilMs: number[];
  /** Until when the worker counts as down, on the monotonic clock. */
  downUntilMs: number;
}

/** Expected latency of a request at a worker. */
export interface LoadEstimate {
  waitMs: number;
  serviceMs: number;
  failureShare: number;
  /** Whether it has just refused a request of the same priority class. */
  isFull: boolean;
  /** Whether it has just refused a connection of the relay beside it. */
  isDown: boolean;
  /** Whether no load of the worker has been reported yet. */
  isLoadUnknown: boolean;
  isLeaving: boolean;
}

/**
 * Load of each worker as seen by this relay: the loads that the workers' relays
 * reported with their responses, and this relay's own requests in flight.
 */
export class WorkerLoads {
  readonly #clock: Clock;
  readonly #drainMs: number;
  readonly #byWorker = new Map<WorkerId, WorkerState>();
  /** Kept beyond the removal of an entry, which may be written again. */
  readonly #leaving = new Map<WorkerId, LeavingMark>();

  /** @param drainMs time after which a leaving worker must not receive requests, in ms. */
  constructor(clock: Clock, drainMs: number) {
    this.#clock = clock;
    this.#drainMs = drainMs;
  }

  recordAttemptStart(id: WorkerId): void {
    const state = this.#stateOf(id);
    state.ownInFlight++;
    state.startedSinceReport++;
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
    state.startedSinceReport = 0;
  }

  /**
   * Marks the worker as full for a priority class after it refused a request.
   */
  recordRefusal(id: WorkerId, priorityClass: number): void {
    this.#stateOf(id).fullUntilMs[priorityClass] =
      this.#clock.monotonicMs() + FULL_MS;
  }

  /** Marks the worker as down after it refused a connection. */
  recordDown(id: WorkerId): void {
    this.#stateOf(id).downUntilMs = this.#clock.monotonicMs() + DOWN_MS;
  }

  /** Records that the worker has responded to a request. */
  recordUp(id: WorkerId): void {
    this.#stateOf(id).downUntilMs = -Infinity;
  }

  /**
   * Marks the worker's address as stale after another worker responded there.
   */
  markAddressStale(id: WorkerId): void {
    this.#stateOf(id).isAddressStale = true;
  }

  /** Clears the stale mark once the worker's entry was written again. */
  clearAddressStale(id: WorkerId): void {
    const state = this.#byWorker.get(id);
    if (state) {
      state.isAddressStale = false;
    }
  }

  /** Marks this start of a worker as leaving, as it has stated itself. */
  markLeaving({id, bornMs}: MeshWorker): void {
    if (!((this.#leaving.get(id)?.bornMs ?? -1) >= bornMs)) {
      this.#leaving.set(id, {bornMs, sinceMs: this.#clock.monotonicMs()});
    }
  }

  /**
   * Whether a worker must receive no more requests, because it stated some time
   * ago that it is about to exit.
   */
  hasLeft(worker: MeshWorker): boolean {
    const mark = this.#markOf(worker);
    const delayMs = this.#drainMs * DRAIN_DELAY_SHARE;
    return (
      mark !== undefined && this.#clock.monotonicMs() - mark.sinceMs >= delayMs
    );
  }

  /**
   * Rate limit that the worker last stated, in requests per second; undefined
   * without one.
   */
  knownRateLimitPerS(id: WorkerId): number | undefined {
    return this.#byWorker.get(id)?.report?.rateLimit?.perS;
  }

  remove(id: WorkerId): void {
    this.#byWorker.delete(id);
    const nowMs = this.#clock.monotonicMs();
    const mark = this.#leaving.get(id);
    if (mark) {
      mark.removedMs = nowMs;
    }
    for (const [leavingId, {removedMs = Infinity}] of this.#leaving) {
      if (removedMs < nowMs - LEFT_TTL_MS) {
        this.#leaving.delete(leavingId);
      }
    }
  }

  /**
   * Estimates the latency of a request at a worker.
   *
   * @param priorityClass class of the request in the worker's queue.
   * @param guessedServiceMs service time of a worker that has reported none.
   */
  estimate(
    worker: MeshWorker,
    priorityClass: number,
    guessedServiceMs: number,
  ): LoadEstimate {
    const state = this.#byWorker.get(worker.id);
    const report = this.#freshReport(state);
    const ownInFlight = state?.ownInFlight ?? 0;
    const meanMs = report?.meanServiceMs || guessedServiceMs;
    const busy = report
      ? report.running +
        countAhead(report.queued, priorityClass) +
        ownInFlight -
        state!.ownInFlightAtReport
      : ownInFlight;
    const waitRounds = Math.max(0, busy + 1 - worker.slots) / worker.slots;
    // Requests to a nearly full worker may have to wait for a moment.
    const slotWaitMs =
      waitRounds * meanMs + contentionMs(busy, worker.slots, meanMs);
    return {
      waitMs: Math.max(
        slotWaitMs,
        report
          ? rateWaitMs(report, state!.startedSinceReport, priorityClass)
          : 0,
      ),
      serviceMs: report?.serviceMs[priorityClass] || meanMs,
      failureShare: report?.failureShare ?? 0,
      isLoadUnknown: state?.report === undefined,
      isFull:
        (state?.fullUntilMs[priorityClass] ?? 0) > this.#clock.monotonicMs(),
      isDown: (state?.downUntilMs ?? 0) > this.#clock.monotonicMs(),
      isLeaving:
        worker.isLeaving ||
        this.#markOf(worker) !== undefined ||
        state?.isAddressStale === true ||
        report?.isLeaving === true,
    };
  }

  #markOf({id, bornMs}: MeshWorker): LeavingMark | undefined {
    const mark = this.#leaving.get(id);
    return mark && mark.bornMs >= bornMs ? mark : undefined;
  }

  #freshReport(state: WorkerState | undefined): WorkerLoad | undefined {
    const isFresh =
      state?.report &&
      this.#clock.monotonicMs() - state.reportedMs < REPORT_TTL_MS;
    return isFresh ? state.report : undefined;
  }

  #stateOf(id: WorkerId): WorkerState {
    let state = this.#byWorker.get(id);
    if (!state) {
      state = {
        reportedMs: -Infinity,
        ownInFlight: 0,
        ownInFlightAtReport: 0,
        startedSinceReport: 0,
        isAddressStale: false,
        fullUntilMs: [],
        downUntilMs: -Infinity,
      };
      this.#byWorker.set(id, state);
    }
    return state;
  }
}

/**
 * Expected wait for a start that the worker's rate limit allows, in ms. Starts
 * that become available after the report are assumed to go to other relays.
 */
function rateWaitMs(
  {rateLimit, queued}: WorkerLoad,
  startedSinceReport: number,
  priorityClass: number,
): number {
  if (!rateLimit) {
    return 0;
  }
  const ahead = countAhead(queued, priorityClass) + startedSinceReport;
  const missing = ahead + 1 - rateLimit.available;
  return Math.max(0, (missing / rateLimit.perS) * MS_PER_S);
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
