import type {LocalLoad} from '@carobseam/calls.types';

const LOAD_VALID_MS = 2000;
const CONSECUTIVE_FAILURES = 5;
const RATE_MIN_CALLS = 20;
const RATE_LIMIT = 0.5;
const RATE_WINDOW_MS = 10_000;
const EJECTION_MS = 5000;
const MAX_EJECTION_MS = 60_000;
/** Time without ejections after which their duration starts again, ms. */
const FORGET_EJECTIONS_MS = 120_000;
const SLOW_START_MS = 10_000;
const SLOW_START_SHARE = 1 / 8;
// By then the member list says that the VM leaves, or it has restarted.
const LEAVING_MS = 10_000;
const DEFAULT_SLOTS = 16;

/** Why a worker is ejected. */
export type EjectionReason = 'consecutive_failures' | 'failure_rate';

/** What an entry daemon learned about one worker. */
export class WorkerHealth {
  inFlightCalls = 0;
  #load = 0;
  #loadMs = -Infinity;
  #slots = DEFAULT_SLOTS;
  #consecutiveFailures = 0;
  #windowStartMs = -Infinity;
  #windowCalls = 0;
  #windowFailures = 0;
  #ejectedUntilMs = -Infinity;
  #ejections = 0;
  #leavingUntilMs = -Infinity;
  #recoveredMs = -Infinity;

  reportLoad(load: LocalLoad, nowMs: number): void {
    this.#load = load.running + load.queued;
    this.#slots = Math.max(1, load.slots);
    this.#loadMs = nowMs;
  }

  markLeaving(nowMs: number): void {
    this.#leavingUntilMs = nowMs + LEAVING_MS;
  }

  recordSuccess(nowMs: number): void {
    this.#consecutiveFailures = 0;
    this.#count(nowMs, 0);
  }

  /** Returns the reason when the worker should be ejected. */
  recordFailure(nowMs: number): EjectionReason | undefined {
    this.#consecutiveFailures++;
    this.#count(nowMs, 1);
    if (this.#consecutiveFailures >= CONSECUTIVE_FAILURES) {
      return 'consecutive_failures';
    }
    const tooMany = this.#windowFailures >= this.#windowCalls * RATE_LIMIT;
    return this.#windowCalls >= RATE_MIN_CALLS && tooMany
      ? 'failure_rate'
      : undefined;
  }

  eject(nowMs: number): void {
    if (nowMs - this.#ejectedUntilMs > FORGET_EJECTIONS_MS) {
      this.#ejections = 0;
    }
    const durationMs = EJECTION_MS * 2 ** this.#ejections++;
    this.#ejectedUntilMs = nowMs + Math.min(durationMs, MAX_EJECTION_MS);
    this.#recoveredMs = this.#ejectedUntilMs;
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

  /** The worker appeared after others; it gets its share step by step. */
  beginSlowStart(nowMs: number): void {
    this.#recoveredMs = nowMs;
  }

  /** Share of its usual calls that a recovered worker gets. */
  slowStartShare(nowMs: number): number {
    const share = (nowMs - this.#recoveredMs) / SLOW_START_MS;
    return Math.max(SLOW_START_SHARE, Math.min(1, share));
  }

  /** Expected use of the worker with one more call; lower is better. */
  loadScore(nowMs: number): number {
    const isFresh = nowMs - this.#loadMs < LOAD_VALID_MS;
    const load = (isFresh ? this.#load : 0) + this.inFlightCalls + 1;
    return load / this.#slots;
  }

  #count(nowMs: number, failures: number): void {
    if (nowMs - this.#windowStartMs > RATE_WINDOW_MS) {
      this.#windowStartMs = nowMs;
      this.#windowCalls = 0;
      this.#windowFailures = 0;
    }
    this.#windowCalls++;
    this.#windowFailures += failures;
  }
}
