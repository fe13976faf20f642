import type {Clock} from '@carobseam/core.types';

/** Capacity of the worker as its service declares it. */
export interface Capacity {
  readonly slots: number;
  readonly connections: number;
  /** Time in which a started worker's slots grow from one in 8 to all. */
  readonly rampMs: number;
}

const INITIAL_SLOT_SHARE = 1 / 8;
// A worker that shed load keeps most of its slots, because a sharp reduction
// would move the overload to the other workers.
const SHED_FACTOR = 0.9;
/** Share of the declared slots by which a lowered limit grows per second. */
const SHED_RECOVERY_SHARE_PER_SECOND = 1 / 8;

/**
 * Number of the worker's slots that may be used now. It grows over a ramp after
 * a start of the worker and is lowered after the worker shed load.
 */
export class SlotLimit {
  readonly #clock: Clock;
  #capacity: Capacity = {slots: 1, connections: 1, rampMs: 1};
  #rampEndMs = Infinity;
  #slotsAfterShed = Infinity;
  #shedAtMs = 0;

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

  /** Starts the ramp, because the worker has just started. */
  startRamp(): void {
    this.#rampEndMs = this.#clock.monotonicMs() + this.#capacity.rampMs;
    this.#slotsAfterShed = Infinity;
  }

  /** Lowers the limit, because the worker shed a call. */
  lowerAfterShed(running: number): void {
    const lowered = Math.floor(
      Math.min(running, this.currentSlots()) * SHED_FACTOR,
    );
    this.#slotsAfterShed = Math.max(1, lowered);
    this.#shedAtMs = this.#clock.monotonicMs();
  }

  /** Whether the limit is below the declared slots and grows. */
  get isGrowing(): boolean {
    return this.currentSlots() < this.#declaredSlots();
  }

  currentSlots(): number {
    const declared = this.#declaredSlots();
    const nowMs = this.#clock.monotonicMs();
    if (nowMs >= this.#rampEndMs && this.#slotsAfterShed === Infinity) {
      return declared;
    }
    return Math.max(
      1,
      Math.min(declared, this.#rampSlots(nowMs), this.#shedSlots(nowMs)),
    );
  }

  #declaredSlots(): number {
    return Math.min(this.#capacity.slots, this.#capacity.connections);
  }

  #rampStartMs(): number {
    return this.#rampEndMs - this.#capacity.rampMs;
  }

  #rampSlots(nowMs: number): number {
    const progress = (nowMs - this.#rampStartMs()) / this.#capacity.rampMs;
    const share =
      INITIAL_SLOT_SHARE + (1 - INITIAL_SLOT_SHARE) * Math.min(1, progress);
    return Math.floor(this.#declaredSlots() * share);
  }

  #shedSlots(nowMs: number): number {
    const regained =
      ((nowMs - this.#shedAtMs) / 1000) *
      SHED_RECOVERY_SHARE_PER_SECOND *
      this.#declaredSlots();
    const limit = Math.floor(this.#slotsAfterShed + regained);
    if (limit >= this.#declaredSlots()) {
      this.#slotsAfterShed = Infinity;
    }
    return limit;
  }
}
