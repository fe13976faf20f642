import type {Clock, RandomSource} from '@carobseam/core.types';

/** Options of a `TransferLimiter`. */
export interface TransferLimiterOptions {
  clock: Clock;
  random: RandomSource;
}

const MAX_CONCURRENT_TRANSFERS = 4;
/**
 * A request handler cannot observe when its reply has been sent, so each
 * transfer counts for a fixed time. 200 ms is the time of a full version
 * (12 KB) at 0.5 Mbit/s. It limits a daemon to 20 full versions a second.
 */
const ASSUMED_TRANSFER_MS = 200;
const MIN_RETRY_AFTER_MS = 100;
const RETRY_AFTER_JITTER_MS = 400;

/** Limits the number of full transfers that this daemon serves concurrently. */
export class TransferLimiter {
  readonly #options: TransferLimiterOptions;
  #activeTransfers = 0;

  constructor(options: TransferLimiterOptions) {
    this.#options = options;
  }

  /**
   * Starts a transfer if a slot is free.
   *
   * @returns 0 if it was started, otherwise the time to retry after, ms.
   */
  tryStart(): number {
    const {clock, random} = this.#options;
    if (this.#activeTransfers >= MAX_CONCURRENT_TRANSFERS) {
      return MIN_RETRY_AFTER_MS + random.nextFloat() * RETRY_AFTER_JITTER_MS;
    }
    this.#activeTransfers++;
    clock.setTimer(ASSUMED_TRANSFER_MS, () => this.#activeTransfers--);
    return 0;
  }
}
