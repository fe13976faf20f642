import type {LocalLoad} from '@carobseam/calls.types';

const LOAD_REPORT_VALIDITY_MS = 2000;
const CONSECUTIVE_FAILURE_LIMIT = 5;
const FAILURE_RATE_MIN_CALLS = 20;
const FAILURE_RATE_LIMIT = 0.5;
const FAILURE_RATE_WINDOW_MS = 10_000;
const BASE_EJECTION_MS = 5000;
const MAX_EJECTION_MS = 60_000;
/** Time without an ejection after which the backoff starts again. */
const EJECTION_BACKOFF_RESET_MS = 120_000;
const SLOW_START_MS = 10_000;
const INITIAL_SLOW_START_SHARE = 1 / 8;
// By then the member list shows that the VM is leaving, or it has restarted.
const LEAVING_VALIDITY_MS = 10_000;
// Assumed until the worker reports its slots.
const DEFAULT_SLOTS = 16;

/** Why a worker is ejected. */
export type EjectionReason = 'consecutive_failures' | 'failure_rate';

/**
 * What this daemon has observed of one worker: reported load, calls in flight,
 * failures, ejections and slow start.
 */
export class WorkerHealth {
  inFlightCalls = 0;
  #load = 0;
  #loadReportedMs = -Infinity;
  #slots = DEFAULT_SLOTS;
  #consecutiveFailures = 0;
  #windowStartMs = -Infinity;
  #windowCalls = 0;
  #windowFailures = 0;
  #ejectedUntilMs = -Infinity;
  #recentEjections = 0;
  #leavingUntilMs = -Infinity;
  #slowStartBeganMs = -Infinity;

  reportLoad(load: LocalLoad, nowMs: number): void {
    this.#load = load.running + load.queued;
    this.#slots = Math.max(1, load.slots);
    this.#loadReportedMs = nowMs;
  }

  markLeaving(nowMs: number): void {
    this.#leavingUntilMs = nowMs + LEAVING_VALIDITY_MS;
  }

  recordSuccess(nowMs: number): void {
    this.#consecutiveFailures = 0;
    this.#countInWindow(nowMs, 0);
  }

  /** Records a failure; returns the reason if the worker should be ejected. */
  recordFailure(nowMs: number): EjectionReason | undefined {
    this.#consecutiveFailures++;
    this.#countInWindow(nowMs, 1);
    if (this.#consecutiveFailures >= CONSECUTIVE_FAILURE_LIMIT) {
      return 'consecutive_failures';
    }
    const tooMany =
      this.#windowFailures >= this.#windowCalls * FAILURE_RATE_LIMIT;
    return this.#windowCalls >= FAILURE_RATE_MIN_CALLS && tooMany
      ? 'failure_rate'
      : undefined;
  }

  eject(nowMs: number): void {
    if (nowMs - this.#ejectedUntilMs > EJECTION_BACKOFF_RESET_MS) {
      this.#recentEjections = 0;
    }
    const durationMs = BASE_EJECTION_MS * 2 ** this.#recentEjections++;
    this.#ejectedUntilMs = nowMs + Math.min(durationMs, MAX_EJECTION_MS);
    this.#slowStartBeganMs = this.#ejectedUntilMs;
    this.#consecutiveFailures = 0;
    this.#windowCalls = 0;
    this.#windowFailures = 0;
  }

  isEjected(nowMs: number): boolean {
    return nowMs < this.#ejectedUntilMs;
  }

  isLeaving(nowMs: number): boolean {
    return nowMs < this.#leavingUntilMs;
  }

  /** Starts the slow start of a new worker. */
  beginSlowStart(nowMs: number): void {
    this.#slowStartBeganMs = nowMs;
  }

  /** Share of its usual calls that the worker gets; below 1 in a slow start. */
  slowStartShare(nowMs: number): number {
    const share = (nowMs - this.#slowStartBeganMs) / SLOW_START_MS;
    return Math.max(INITIAL_SLOW_START_SHARE, Math.min(1, share));
  }

  /** Expected load per slot with one more call; lower is better. */
  loadScore(nowMs: number): number {
    const isFresh = nowMs - this.#loadReportedMs < LOAD_REPORT_VALIDITY_MS;
    const load = (isFresh ? this.#load : 0) + this.inFlightCalls + 1;
    return load / this.#slots;
  }

  #countInWindow(nowMs: number, failures: number): void {
    if (nowMs - this.#windowStartMs > FAILURE_RATE_WINDOW_MS) {
      this.#windowStartMs = nowMs;
      this.#windowCalls = 0;
      this.#windowFailures = 0;
    }
    this.#windowCalls++;
    this.#windowFailures += failures;
  }
}
