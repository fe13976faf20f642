import type {Clock, Timer} from '@carobseam/core.types';

/** Clock of the operating system. */
export class SystemClock implements Clock {
  monotonicMs(): number {
    return performance.now();
  }

  wallMs(): number {
    return Date.now();
  }

  setTimer(delayMs: number, run: () => void): Timer {
    const handle = setTimeout(run, delayMs);
    return {cancel: () => clearTimeout(handle)};
  }
}
