import type {Logger} from '@carobseam/core.logger';
import type {Metrics} from '@carobseam/core.metrics';
import type {Clock, Timer} from '@carobseam/core.types';

const CHECK_INTERVAL_MS = 250; // a timer every 100 ms takes 2 ms of processor time a second
const LOGGED_DELAY_MS = 200; // one interval between the interim responses of a hop
const MS_PER_S = 1000;

/** Options of `EventLoopMonitor`. */
export interface EventLoopMonitorOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
}

/**
 * Measures how late a periodic timer runs, which shows when this process got no
 * processor time or was busy with one task. A delay can be measured up to one
 * check interval too short. Delays that are logged last long enough to limit
 * the number of lines.
 */
export class EventLoopMonitor {
  readonly #options: EventLoopMonitorOptions;
  #timer?: Timer;
  /** When the last check and the one before ran, on the monotonic clock, in ms. */
  #checkedMs: number;
  #previouslyCheckedMs: number;

  constructor(options: EventLoopMonitorOptions) {
    this.#options = options;
    this.#checkedMs = options.clock.monotonicMs();
    this.#previouslyCheckedMs = this.#checkedMs;
  }

  /**
   * The earliest time at which a signal that is handled now can have been sent,
   * on the monotonic clock, in ms. The event loop handles signals between two
   * checks, so it was sent after the last check but one.
   */
  get earliestSignalMs(): number {
    return this.#previouslyCheckedMs;
  }

  start(): void {
    const {clock} = this.#options;
    const dueMs = clock.monotonicMs() + CHECK_INTERVAL_MS;
    this.#timer = clock.setTimer(CHECK_INTERVAL_MS, () => {
      const nowMs = clock.monotonicMs();
      const delayMs = Math.max(0, nowMs - dueMs);
      this.#previouslyCheckedMs = this.#checkedMs;
      this.#checkedMs = nowMs;
      this.#record(delayMs);
      this.start();
    });
  }

  close(): void {
    this.#timer?.cancel();
  }

  #record(delayMs: number): void {
    const {logger, metrics} = this.#options;
    metrics.observe(
      'carobseam_relay_event_loop_delay_seconds',
      delayMs / MS_PER_S,
    );
    if (delayMs > LOGGED_DELAY_MS) {
      logger.warn('event_loop_delayed', {delayMs: Math.round(delayMs)});
    }
  }
}
