import type {DaemonBlackboard} from '@carobseam/core.blackboard';
import type {PauseDetector} from '@carobseam/core.clock';
import type {Clock, VmId} from '@carobseam/core.types';
import {SETTLING_PERIOD_MS, MIN_WALL_JUMP_MS} from './limits.js';

export interface SettlingTrackerOptions {
  vmId: VmId;
  blackboard: DaemonBlackboard;
  clock: Clock;
  pauseDetector: PauseDetector;
}

/**
 * Tracks the earliest issue time of the keys that this process may execute. Its
 * view of the members may be stale after a start, a pause, a jump of the wall
 * clock or a loss of the majority, so keys issued before the end of the
 * following settling period are refused.
 */
export class SettlingTracker {
  readonly #options: SettlingTrackerOptions;
  readonly #stopObservingPauses: () => void;
  #wallOffsetMs: number;
  #highestWallMs: number;
  #lastDisruptionWallMs = 0;

  constructor(options: SettlingTrackerOptions) {
    this.#options = options;
    const {clock, blackboard, pauseDetector} = options;
    this.#wallOffsetMs = clock.wallMs() - clock.monotonicMs();
    this.#highestWallMs = clock.wallMs();
    this.#lastDisruptionWallMs = blackboard.read('lastResume')?.wallMs ?? 0;
    this.#stopObservingPauses = pauseDetector.onPause(pause =>
      this.#recordDisruption(pause.resumedWallMs),
    );
  }

  /** Stops observing pauses. */
  close(): void {
    this.#stopObservingPauses();
  }

  /**
   * Highest wall time that this process has seen. The age of a key is measured
   * from it, so that a key that was removed as too old is never accepted again,
   * also when the clock is set back.
   */
  get highestWallMs(): number {
    return this.#highestWallMs;
  }

  /** Checks for a pause or a wall clock jump; call it before each decision. */
  detectDisruption(): void {
    const {clock, pauseDetector} = this.#options;
    pauseDetector.check();
    const wallMs = clock.wallMs();
    const offsetMs = wallMs - clock.monotonicMs();
    this.#highestWallMs = Math.max(this.#highestWallMs, wallMs);
    if (Math.abs(offsetMs - this.#wallOffsetMs) >= MIN_WALL_JUMP_MS) {
      // When the clock was set back, keys issued up to the highest wall time
      // may have been executed.
      this.#recordDisruption(this.#highestWallMs);
    }
    this.#wallOffsetMs = offsetMs;
  }

  /**
   * Returns the earliest issue time of the keys that may be executed here;
   * undefined until this daemon is a member.
   */
  earliestIssueWallMs(): number | undefined {
    const {vmId, blackboard} = this.#options;
    const self = blackboard.read('members').get(vmId);
    if (!self) {
      return undefined;
    }
    const lastMs = Math.max(
      self.servingSinceWallMs,
      this.#lastDisruptionWallMs,
      blackboard.read('lastResume')?.wallMs ?? 0,
      blackboard.read('contact').majoritySinceWallMs,
    );
    return lastMs + SETTLING_PERIOD_MS;
  }

  #recordDisruption(wallMs: number): void {
    this.#lastDisruptionWallMs = Math.max(this.#lastDisruptionWallMs, wallMs);
  }
}
