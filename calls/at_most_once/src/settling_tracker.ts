import type {DaemonBlackboard} from '@carobseam/core.blackboard';
import type {PauseDetector} from '@carobseam/core.clock';
import type {Clock, VmId} from '@carobseam/core.types';
import {SETTLING_PERIOD_MS, MIN_WALL_JUMP_MS} from './limits.js';

/** Options of a `SettleTracker`. */
export interface SettlingTrackerOptions {
  vmId: VmId;
  blackboard: DaemonBlackboard;
  clock: Clock;
  pauseDetector: PauseDetector;
}

/**
 * Tells from which issue time on this process may run keys: its view of the
 * members is stale after a start, a pause, a jump of the wall clock and an
 * isolation.
 */
export class SettlingTracker {
  readonly #options: SettlingTrackerOptions;
  readonly #stopListening: () => void;
  #wallOffsetMs: number;
  #highestWallMs: number;
  #disturbedWallMs = 0;

  constructor(options: SettlingTrackerOptions) {
    this.#options = options;
    const {clock, blackboard, pauseDetector} = options;
    this.#wallOffsetMs = clock.wallMs() - clock.monotonicMs();
    this.#highestWallMs = clock.wallMs();
    this.#disturbedWallMs = blackboard.read('lastResume')?.wallMs ?? 0;
    this.#stopListening = pauseDetector.onPause(pause =>
      this.#disturb(pause.resumedWallMs),
    );
  }

  /** Ends the observation of pauses. */
  close(): void {
    this.#stopListening();
  }

  /**
   * Highest wall time that was seen, ms. Ages are measured from it, so that a
   * key that was too old, and is forgotten, is never accepted again.
   */
  get highestWallMs(): number {
    return this.#highestWallMs;
  }

  /** Looks for a pause or a jump of the wall clock; run before decisions. */
  detectDisruption(): void {
    const {clock, pauseDetector} = this.#options;
    pauseDetector.check();
    const wallMs = clock.wallMs();
    const offsetMs = wallMs - clock.monotonicMs();
    this.#highestWallMs = Math.max(this.#highestWallMs, wallMs);
    if (Math.abs(offsetMs - this.#wallOffsetMs) >= MIN_WALL_JUMP_MS) {
      // After a step back, keys up to the highest time may have been run.
      this.#disturb(this.#highestWallMs);
    }
    this.#wallOffsetMs = offsetMs;
  }

  /** Issue time from which on keys may run here; undefined before a start. */
  earliestIssueWallMs(): number | undefined {
    const {vmId, blackboard} = this.#options;
    const self = blackboard.read('members').get(vmId);
    if (!self) {
      return undefined;
    }
    const lastMs = Math.max(
      self.servingSinceWallMs,
      this.#disturbedWallMs,
      blackboard.read('lastResume')?.wallMs ?? 0,
      blackboard.read('contact').majoritySinceWallMs,
    );
    return lastMs + SETTLING_PERIOD_MS;
  }

  #disturb(wallMs: number): void {
    this.#disturbedWallMs = Math.max(this.#disturbedWallMs, wallMs);
  }
}
