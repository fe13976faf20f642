import type {MeshState} from '@carobseam/config.mesh';
import type {Clock, RandomSource, Timer} from '@carobseam/core.types';
import type {FeedAnswer, FeedRequest} from './feed_types.js';

const MAX_WAIT_MS = 2000; // callers that left without a sign are let go by then
const MAX_RUN_NUMBER = 2 ** 31 - 1; // two runs share a number once in two thousand million

/** Options of `StateFeed`. */
export interface StateFeedOptions {
  clock: Clock;
  random: RandomSource;
  state: MeshState;
}

/** What the feed says of its own process. */
export interface FeedRole {
  isReader: boolean;
  readers: readonly string[];
}

/** Gives the state of this relay to peers as it changes. */
export class StateFeed {
  readonly #options: StateFeedOptions;
  readonly #run: string;
  readonly #waiting = new Set<() => void>();
  #contactMs = -Infinity;

  constructor(options: StateFeedOptions) {
    this.#options = options;
    this.#run = options.random.nextInt(MAX_RUN_NUMBER).toString(36);
  }

  /** The source has just answered. */
  contacted(): void {
    this.#contactMs = this.#options.clock.monotonicMs();
    this.wake();
  }

  /** Answers every peer that waits. */
  wake(): void {
    const waiting = [...this.#waiting];
    this.#waiting.clear();
    waiting.forEach(answer => answer());
  }

  /**
   * Answers at once when there is news or this relay is no reader, otherwise
   * at the next contact with the source.
   */
  async answer(
    request: FeedRequest,
    role: () => FeedRole,
  ): Promise<FeedAnswer> {
    const {state} = this.#options;
    const isFollower = request.run === this.#run;
    const isCurrent = isFollower && request.sequence === state.sequence;
    if (isCurrent && role().isReader && request.waitMs > 0) {
      await this.#wait(Math.min(request.waitMs, MAX_WAIT_MS));
    }
    return this.#toAnswer(request, isFollower, role());
  }

  #toAnswer(
    request: FeedRequest,
    isFollower: boolean,
    role: FeedRole,
  ): FeedAnswer {
    const {clock, state} = this.#options;
    // A peer that has seen as much of the source needs only what is next.
    const isLevel = state.revision <= request.revision;
    const sequence = isLevel ? state.sequence : undefined;
    const update = state.updateSince(
      isFollower ? request.sequence : sequence,
      request.version,
    );
    return {
      ...update,
      run: this.#run,
      ...role,
      contactAgeMs: Math.round(
        Math.min(
          Number.MAX_SAFE_INTEGER,
          clock.monotonicMs() - this.#contactMs,
        ),
      ),
    };
  }

  #wait(waitMs: number): Promise<void> {
    return new Promise(resolve => {
      let timer: Timer | undefined = undefined;
      const answer = () => {
        timer?.cancel();
        this.#waiting.delete(answer);
        resolve();
      };
      this.#waiting.add(answer);
      timer = this.#options.clock.setTimer(waitMs, answer);
    });
  }
}
