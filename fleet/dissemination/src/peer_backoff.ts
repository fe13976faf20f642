import type {Clock, RandomSource} from '@carobseam/core.types';

/** Options of a `PeerBackoff`. */
export interface PeerBackoffOptions {
  clock: Clock;
  random: RandomSource;
}

interface BackoffState {
  untilMs: number;
  failures: number;
}

const INITIAL_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 10_000;
const MAX_PEERS = 256;

/** Exponential backoff with full jitter, separate for each peer. */
export class PeerBackoff {
  readonly #options: PeerBackoffOptions;
  readonly #states = new Map<string, BackoffState>();

  constructor(options: PeerBackoffOptions) {
    this.#options = options;
  }

  /** Returns the time until the next request is allowed, 0 for now, ms. */
  getWaitMs(peerId: string): number {
    const untilMs = this.#states.get(peerId)?.untilMs ?? 0;
    return Math.max(0, untilMs - this.#options.clock.monotonicMs());
  }

  recordSuccess(peerId: string): void {
    this.#states.delete(peerId);
  }

  recordFailure(peerId: string): void {
    const failures = this.#states.get(peerId)?.failures ?? 0;
    const maxDelayMs = Math.min(
      MAX_BACKOFF_MS,
      INITIAL_BACKOFF_MS * 2 ** failures,
    );
    this.#setBackoff(
      peerId,
      this.#options.random.nextFloat() * maxDelayMs,
      failures + 1,
    );
  }

  /** Delays the next request by the time that the busy peer asked for. */
  recordBusy(peerId: string, retryAfterMs: number): void {
    const failures = this.#states.get(peerId)?.failures ?? 0;
    this.#setBackoff(peerId, Math.min(retryAfterMs, MAX_BACKOFF_MS), failures);
  }

  #setBackoff(peerId: string, durationMs: number, failures: number): void {
    const untilMs = this.#options.clock.monotonicMs() + durationMs;
    this.#states.delete(peerId);
    this.#states.set(peerId, {untilMs, failures});
    for (const oldest of this.#states.keys()) {
      if (this.#states.size <= MAX_PEERS) {
        break;
      }
      this.#states.delete(oldest);
    }
  }
}
