import type {VmList} from './vm_list.js';

/** A value with the platform's index of its last change. */
export interface PlatformValue {
  index: number;
  bytes: Uint8Array;
}

/** Options of a read. */
export interface ReadOptions {
  signal?: AbortSignal;
}

/** Options of a watch. */
export interface WatchOptions extends ReadOptions {
  /** Waits until the index is higher; returns at once when absent. */
  afterIndex?: number;
  /** Longest time to wait, ms. */
  waitMs?: number;
}

/**
 * Reads and watches the platform. Each call is one call at the platform.
 *
 * Calls throw a CarobseamError with code `PLATFORM_UNAVAILABLE`,
 * `PLATFORM_LIMITED` (its info has `retryAfterMs`) or `PLATFORM_INVALID`.
 */
export interface PlatformReader {
  /** Reads a value; undefined when the key does not exist. */
  read(key: string, options?: ReadOptions): Promise<PlatformValue | undefined>;
  /** Waits for a change of a value; returns the current one after `waitMs`. */
  watch(key: string, options: WatchOptions): Promise<PlatformValue | undefined>;
  /** Reads or watches the list of VMs. */
  listVms(options: WatchOptions): Promise<VmList>;
  close(): Promise<void>;
}
