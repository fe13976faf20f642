import type {Clock} from '@carobseam/core.types';

/** Capacity of the worker as its service declares it. */
export interface Capacity {
  readonly slots: number;
  readonly connections: number;
  /** Time in which a cold worker goes from one slot in 8 to all. */
  readonly rampMs: number;
}

const COLD_SHARE = 1 / 8;
// A worker that shed load keeps most of its slots, because a sudden cut would
// move the overload to the other workers.
const SHED_FACTOR = 0.9;
/** Share of the slots that a lowered limit regains in a second. */
const SHED_RECOVERY_PER_SECOND = 1 / 8;

/** Number of slots that may be used now. */
export class SlotLimit {
  readonly #clock: Clock;
  #capacity: Capacity = {slots: 1, connections: 1, rampMs: 1};
  #rampEndMs = Infinity;
  #shedLimit = Infinity;
  #shedMs = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.startRamp();
  }

  setCapacity(capacity: Capacity): void {
    const rampedMs = this.#clock.monotonicMs() - this.#rampStartMs();
    this.#capacity = capacity;
    this.#rampEndMs =
      this.#clock.monotonicMs() - rampedMs + this.#capacity.rampMs;
  }

  /** The worker has just started; its slots open over the ramp. */
  startRamp(): void {
    this.#rampEndMs = this.#clock.monotonicMs() + this.#capacity.rampMs;
    this.#shedLimit = Infinity;
  }

  /** The worker refused a call by itself. */
  lowerAfterShed(running: number): void {
    const lowered = Math.floor(Math.min(running, this.current()) * SHED_FACTOR);
    this.#shedLimit = Math.max(1, lowered);
    this.#shedMs = this.#clock.monotonicMs();
  }

  /** Whether the limit grows with time. */
  get isGrowing(): boolean {
    return this.current() < this.#declared();
  }

  current(): number {
    const declared = this.#declared();
    const nowMs = this.#clock.monotonicMs();
    if (nowMs >= this.#rampEndMs && this.#shedLimit === Infinity) {
      return declared;
    }
    return Math.max(
      1,
      Math.min(declared, this.#ramped(nowMs), this.#shed(nowMs)),
    );
  }

  #declared(): number {
    return Math.min(this.#capacity.slots, this.#capacity.connections);
  }

  #rampStartMs(): number {
    return this.#rampEndMs - this.#capacity.rampMs;
  }

  #ramped(nowMs: number): number {
    const progress = (nowMs - this.#rampStartMs()) / this.#capacity.rampMs;
    const share = COLD_SHARE + (1 - COLD_SHARE) * Math.min(1, progress);
    return Math.floor(this.#declared() * share);
  }

  #shed(nowMs: number): number {
    const regained =
      ((nowMs - this.#shedMs) / 1000) *
      SHED_RECOVERY_PER_SECOND *
      this.#declared();
    const limit = Math.floor(this.#shedLimit + regained);
    if (limit >= this.#declared()) {
      this.#shedLimit = Infinity;
    }
    return limit;
  }
}
