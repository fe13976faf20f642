import type {Clock, Controller, Timer} from '@carobseam/core.types';

/** A period in which the process did not run. */
export interface Pause {
  /** Monotonic time at which the process resumed. */
  resumedMonotonicMs: number;
  /** Wall time at which the process resumed, in ms since the epoch. */
  resumedWallMs: number;
  durationMs: number;
}

/** Options of a `PauseDetector`. */
export interface PauseDetectorOptions {
  clock: Clock;
  /** Interval of the timer that records that the process is running. */
  tickMs?: number;
  /** Shortest time between two records that counts as a pause. */
  thresholdMs?: number;
}

/** Detects that the process was stopped or got no CPU time for a while. */
export class PauseDetector implements Controller {
  readonly #clock: Clock;
  readonly #tickMs: number;
  readonly #thresholdMs: number;
  readonly #listeners = new Set<(pause: Pause) => void>();
  #lastTickMs: number;
  #timer?: Timer;

  constructor(options: PauseDetectorOptions) {
    this.#clock = options.clock;
    this.#tickMs = options.tickMs ?? 50;
    this.#thresholdMs = options.thresholdMs ?? 1000;
    this.#lastTickMs = this.#clock.monotonicMs();
  }

  async start(): Promise<void> {
    this.#lastTickMs = this.#clock.monotonicMs();
    this.#schedule();
  }

  async close(): Promise<void> {
    this.#timer?.cancel();
    this.#listeners.clear();
  }

  /** Registers a listener; the returned function removes it. */
  onPause(listener: (pause: Pause) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /**
   * Reports a pause if too much time has passed since the last tick. Callers run
   * it before a decision that a pause would invalidate, because after a pause the
   * event loop may deliver received data before it runs the timer.
   */
  check(): Pause | undefined {
    const nowMs = this.#clock.monotonicMs();
    const durationMs = nowMs - this.#lastTickMs;
    this.#lastTickMs = nowMs;
    if (durationMs < this.#thresholdMs) {
      return undefined;
    }
    const pause = {
      resumedMonotonicMs: nowMs,
      resumedWallMs: this.#clock.wallMs(),
      durationMs,
    };
    for (const listener of this.#listeners) {
      listener(pause);
    }
    return pause;
  }

  #schedule(): void {
    this.#timer = this.#clock.setTimer(this.#tickMs, () => {
      this.check();
      this.#schedule();
    });
  }
}
