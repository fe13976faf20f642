import {PRIORITY_CLASS_COUNT} from './queued_request.js';

const TIME_WEIGHT = 0.05; // averages over about the last 20 responses
const FAILURE_WEIGHT = 0.08; // detects a worker that fails half of its requests within ten responses

/** Moving averages of a worker's service times and of its failure share. */
export class ServiceTimeEstimate {
  readonly #meanByClass = new Array<number>(PRIORITY_CLASS_COUNT).fill(0);
  /** 0 before the first response. */
  #meanMs = 0;
  #failureShare = 0;
  #samples = 0;

  /** Mean service time of all requests, in ms; 0 before the first response. */
  get meanMs(): number {
    return this.#meanMs;
  }

  get meanByClassMs(): readonly number[] {
    return this.#meanByClass;
  }

  get failureShare(): number {
    return this.#failureShare;
  }

  /**
   * Expected service time of a request of a priority class, in ms; 0 before the
   * first response.
   */
  expectedMs(priorityClass: number): number {
    return this.#meanByClass[priorityClass] || this.#meanMs;
  }

  /** Records a successful response and its service time. */
  recordSuccess(priorityClass: number, durationMs: number): void {
    this.#samples++;
    const weight = Math.max(TIME_WEIGHT, 1 / this.#samples);
    this.#meanMs += (durationMs - this.#meanMs) * weight;
    const previousMs = this.#meanByClass[priorityClass]!;
    this.#meanByClass[priorityClass] =
      previousMs === 0
        ? durationMs
        : previousMs + (durationMs - previousMs) * TIME_WEIGHT;
    this.#failureShare *= 1 - FAILURE_WEIGHT;
  }

  /**
   * Records a failure. Its duration is ignored, because it says nothing about
   * the service time.
   */
  recordFailure(): void {
    this.#failureShare += (1 - this.#failureShare) * FAILURE_WEIGHT;
  }

  /** Resets all averages, for a new worker at the address. */
  reset(): void {
    this.#meanByClass.fill(0);
    this.#meanMs = 0;
    this.#failureShare = 0;
    this.#samples = 0;
  }
}
