import type {MeshState} from '@carobseam/config.mesh';
import type {Clock, RandomSource, Timer} from '@carobseam/core.types';
import type {FeedResponse, FeedRequest} from './feed_message.js';

const MAX_WAIT_MS = 2000; // callers that left without a sign are let go by then
const MIN_HOLD_MS = 600; // of a poll without news; two contacts with the source
const MAX_CONTACT_AGE_MS = 1500; // a reader that hears less of the source helps nobody
const MAX_RUN_NUMBER = 2 ** 31 - 1; // two runs share a number once in two thousand million

/** Options of `StateFeed`. */
export interface ChangeFeedOptions {
  clock: Clock;
  random: RandomSource;
  state: MeshState;
}

/** What the feed says of its own process. */
export interface ReaderRole {
  isReader: boolean;
  readers: readonly string[];
}

/** Gives the state of this relay to peers as it changes. */
export class ChangeFeed {
  readonly #options: ChangeFeedOptions;
  readonly #run: string;
  readonly #waiting = new Set<Waiting>();
  #contactMs = -Infinity;

  constructor(options: ChangeFeedOptions) {
    this.#options = options;
    this.#run = options.random.nextInt(MAX_RUN_NUMBER).toString(36);
  }

  /** The source has just answered. */
  recordSourceContact(): void {
    const nowMs = this.#options.clock.monotonicMs();
    this.#contactMs = nowMs;
    this.#answerWaiting(({sinceMs}) => nowMs - sinceMs >= MIN_HOLD_MS);
  }

  /** The state has changed: answers every peer that waits. */
  notifyStateChanged(): void {
    this.#answerWaiting(() => true);
  }

  /**
   * Answers at once when there is news or this relay is no reader, otherwise
   * at the next contact with the source.
   */
  async respond(
    request: FeedRequest,
    role: () => ReaderRole,
  ): Promise<FeedResponse> {
    const {state} = this.#options;
    const isFollower = request.run === this.#run;
    const isCurrent =
      isFollower &&
      request.sequence === state.sequence &&
      request.version >= (state.config?.version ?? 0);
    if (isCurrent && role().isReader && request.waitMs > 0) {
      await this.#wait(Math.min(request.waitMs, MAX_WAIT_MS));
    }
    return this.#toAnswer(request, isFollower, role());
  }

  #toAnswer(
    request: FeedRequest,
    isFollower: boolean,
    role: ReaderRole,
  ): FeedResponse {
    const {clock, state} = this.#options;
    const contactAgeMs = Math.min(
      Number.MAX_SAFE_INTEGER,
      Math.round(clock.monotonicMs() - this.#contactMs),
    );
    // A peer that has seen as much of the source needs only what is next.
    const isLevel = state.revision <= request.revision;
    const sequence = isLevel ? state.sequence : undefined;
    const update = state.updateSince(
      isFollower ? request.sequence : sequence,
      request.version,
      request.acceptsWhole,
    );
    return {
      ...update,
      run: this.#run,
      ...role,
      isReader: role.isReader && contactAgeMs <= MAX_CONTACT_AGE_MS,
      contactAgeMs,
    };
  }

  #answerWaiting(isDue: (waiting: Waiting) => boolean): void {
    for (const waiting of [...this.#waiting].filter(isDue)) {
      this.#waiting.delete(waiting);
      waiting.answer();
    }
  }

  #wait(waitMs: number): Promise<void> {
    const {clock} = this.#options;
    return new Promise(resolve => {
      const waiting: Waiting = {
        sinceMs: clock.monotonicMs(),
        answer: () => {
          timer.cancel();
          resolve();
        },
      };
      const timer: Timer = clock.setTimer(waitMs, () => {
        this.#waiting.delete(waiting);
        resolve();
      });
      this.#waiting.add(waiting);
    });
  }
}

interface Waiting {
  sinceMs: number;
  answer: () => void;
}
