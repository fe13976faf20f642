import type {Clock, Timer} from '@carobseam/core.types';

interface ScheduledCallback {
  dueMs: number;
  sequence: number;
  run: () => void;
}

/** Clock for deterministic tests. Its time advances only on request. */
export class ManualClock implements Clock {
  #nowMs = 0;
  #wallOffsetMs: number;
  #sequence = 0;
  readonly #scheduled: ScheduledCallback[] = [];

  /** @param wallStartMs wall time at monotonic time 0, in ms since the epoch. */
  constructor(wallStartMs = 1_700_000_000_000) {
    this.#wallOffsetMs = wallStartMs;
  }

  monotonicMs(): number {
    return this.#nowMs;
  }

  wallMs(): number {
    return this.#wallOffsetMs + this.#nowMs;
  }

  setTimer(delayMs: number, run: () => void): Timer {
    const entry = {
      dueMs: this.#nowMs + Math.max(0, delayMs),
      sequence: this.#sequence++,
      run,
    };
    this.#insert(entry);
    return {cancel: () => this.#remove(entry)};
  }

  /** Advances the time and runs each callback at the time at which it is due. */
  advance(durationMs: number): void {
    const endMs = this.#nowMs + durationMs;
    for (;;) {
      const next = this.#nextDue(endMs);
      if (!next) {
        break;
      }
      this.#remove(next);
      this.#nowMs = Math.max(this.#nowMs, next.dueMs);
      next.run();
    }
    this.#nowMs = endMs;
  }

  /** Like `advance`, but lets promise callbacks run after each callback. */
  async advanceAsync(durationMs: number): Promise<void> {
    const endMs = this.#nowMs + durationMs;
    await flushPromises();
    for (;;) {
      const next = this.#nextDue(endMs);
      if (!next) {
        break;
      }
      this.#remove(next);
      this.#nowMs = Math.max(this.#nowMs, next.dueMs);
      next.run();
      await flushPromises();
    }
    this.#nowMs = endMs;
  }

  /** Advances the time without running callbacks, like a pause of the process. */
  jump(durationMs: number): void {
    this.#nowMs += durationMs;
  }

  /** Shifts the wall clock but not the monotonic clock. */
  shiftWall(offsetMs: number): void {
    this.#wallOffsetMs += offsetMs;
  }

  #nextDue(endMs: number): ScheduledCallback | undefined {
    const first = this.#scheduled[0];
    return first && first.dueMs <= endMs ? first : undefined;
  }

  /** Inserts a callback in the order of due times, by binary search. */
  #insert(entry: ScheduledCallback): void {
    let low = 0;
    let high = this.#scheduled.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (compareCallbacks(this.#scheduled[middle]!, entry) < 0) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    this.#scheduled.splice(low, 0, entry);
  }

  #remove(entry: ScheduledCallback): void {
    const index = this.#scheduled.indexOf(entry);
    if (index >= 0) {
      this.#scheduled.splice(index, 1);
    }
  }
}

function compareCallbacks(a: ScheduledCallback, b: ScheduledCallback): number {
  return a.dueMs - b.dueMs || a.sequence - b.sequence;
}

async function flushPromises(): Promise<void> {
  // Several turns, because a chain of awaited promises needs one turn for each.
  for (let turn = 0; turn < 20; turn++) {
    await Promise.resolve();
  }
}
