import type {Clock, Timer} from '@carobseam/core.types';
import {MAX_VALUE_BYTES} from '@carobseam/config.types';
import type {
  ListedVm,
  PlatformValue,
  VmList,
} from '@carobseam/config.published_reader';

/** Faults that tests can switch on. */
export interface PlatformFaults {
  /** Every call fails. */
  down: boolean;
  /** Reads see the values and the list as they were when it was set. */
  stale: boolean;
  /** Time after which a change becomes visible, ms. */
  lagMs: number;
}

/** Call counts of the platform. */
export interface PlatformStats {
  calls: number;
  refusedCalls: number;
  /** Most calls within one second, refused ones included. */
  peakCallsPerSecond: number;
  limitCallsPerSecond: number;
}

/** Outcome of the admission of one call. */
export type CallAdmission = 'admitted' | 'limited' | 'down';

/** Options of a `PlatformState`. */
export interface InMemoryPlatformOptions {
  clock: Clock;
  limitCallsPerSecond: number;
}

interface Waiter {
  isReady: () => boolean;
  resume: () => void;
  timer: Timer;
}

const VM_LIST_KEY = ' vms';
const WINDOW_MS = 1000;

/** Values, list of VMs, call limit and faults of the platform stand-in. */
export class InMemoryPlatform {
  readonly #clock: Clock;
  readonly #limitCallsPerSecond: number;
  readonly #visible = new Map<string, PlatformValue>();
  readonly #waiters = new Set<Waiter>();
  readonly #delayed = new Set<Timer>();
  #frozen?: ReadonlyMap<string, PlatformValue>;
  #faults: PlatformFaults = {down: false, stale: false, lagMs: 0};
  #index = 0;
  #callTimes: number[] = [];
  #stats = {calls: 0, refusedCalls: 0, peakCallsPerSecond: 0};

  constructor(options: InMemoryPlatformOptions) {
    this.#clock = options.clock;
    this.#limitCallsPerSecond = options.limitCallsPerSecond;
    this.putVms([]);
  }

  /** Publishes a value; fails for one over 1 MB. */
  put(key: string, bytes: Uint8Array): void {
    if (bytes.byteLength > MAX_VALUE_BYTES) {
      throw new RangeError(`value of ${key} is over ${MAX_VALUE_BYTES} bytes`);
    }
    const value = {index: ++this.#index, bytes};
    if (this.#faults.lagMs === 0) {
      this.#makeVisible(key, value);
      return;
    }
    const timer = this.#clock.setTimer(this.#faults.lagMs, () => {
      this.#delayed.delete(timer);
      this.#makeVisible(key, value);
    });
    this.#delayed.add(timer);
  }

  putVms(vms: readonly ListedVm[]): void {
    this.put(VM_LIST_KEY, Buffer.from(JSON.stringify({vms})));
  }

  setFaults(faults: Partial<PlatformFaults>): void {
    if (faults.stale === true && !this.#faults.stale) {
      this.#frozen = new Map(this.#visible);
    }
    if (faults.stale === false) {
      this.#frozen = undefined;
    }
    this.#faults = {...this.#faults, ...faults};
    this.#resumeWaiters();
  }

  getStats(): PlatformStats {
    return {...this.#stats, limitCallsPerSecond: this.#limitCallsPerSecond};
  }

  /** Starts the counts anew. */
  resetStats(): void {
    this.#stats = {calls: 0, refusedCalls: 0, peakCallsPerSecond: 0};
    this.#callTimes = [];
  }

  /** Counts a call and applies the limit. */
  admit(): CallAdmission {
    const nowMs = this.#clock.monotonicMs();
    this.#callTimes = this.#callTimes.filter(time => time > nowMs - WINDOW_MS);
    this.#callTimes.push(nowMs);
    this.#stats.calls++;
    this.#stats.peakCallsPerSecond = Math.max(
      this.#stats.peakCallsPerSecond,
      this.#callTimes.length,
    );
    if (this.#faults.down) {
      return 'down';
    }
    if (this.#callTimes.length > this.#limitCallsPerSecond) {
      this.#stats.refusedCalls++;
      return 'limited';
    }
    return 'admitted';
  }

  isDown(): boolean {
    return this.#faults.down;
  }

  get(key: string): PlatformValue | undefined {
    return (this.#frozen ?? this.#visible).get(key);
  }

  listVms(): VmList {
    const value = this.get(VM_LIST_KEY);
    if (!value) {
      return {index: 0, vms: []};
    }
    const {vms} = JSON.parse(Buffer.from(value.bytes).toString('utf8'));
    return {index: value.index, vms};
  }

  /** Resolves when the value changed, the platform went down or time is up. */
  async waitForChange(
    key: string,
    afterIndex: number,
    waitMs: number,
  ): Promise<void> {
    const isReady = () => this.isDown() || this.#indexOf(key) > afterIndex;
    if (isReady()) {
      return;
    }
    await new Promise<void>(resolve => {
      const resume = () => {
        waiter.timer.cancel();
        this.#waiters.delete(waiter);
        resolve();
      };
      const timer = this.#clock.setTimer(waitMs, resume);
      const waiter: Waiter = {isReady, resume, timer};
      this.#waiters.add(waiter);
    });
  }

  /** Like `waitForChange`, for the list of VMs. */
  waitForVms(afterIndex: number, waitMs: number): Promise<void> {
    return this.waitForChange(VM_LIST_KEY, afterIndex, waitMs);
  }

  close(): void {
    [...this.#waiters].forEach(waiter => waiter.resume());
    this.#delayed.forEach(timer => timer.cancel());
  }

  #makeVisible(key: string, value: PlatformValue): void {
    // A change that was published later may have become visible before.
    if (this.#indexInVisible(key) < value.index) {
      this.#visible.set(key, value);
    }
    this.#resumeWaiters();
  }

  #indexOf(key: string): number {
    return this.get(key)?.index ?? 0;
  }

  #indexInVisible(key: string): number {
    return this.#visible.get(key)?.index ?? 0;
  }

  #resumeWaiters(): void {
    [...this.#waiters]
      .filter(waiter => waiter.isReady())
      .forEach(waiter => waiter.resume());
  }
}
