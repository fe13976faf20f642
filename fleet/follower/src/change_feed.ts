import type {MeshState} from '@carobseam/config.mesh';
import type {Clock, RandomSource, Timer} from '@carobseam/core.types';
import type {FeedRequest, FeedResponse} from './feed_message.js';

const MAX_WAIT_MS = 2000; // polls of peers that disconnected unnoticed are released by then
const MIN_HOLD_MS = 600; // of a poll without changes; covers two contacts with the source
const MAX_CONTACT_AGE_MS = 1500; // a relay whose last contact with the source is older does not report itself as a reader
const MAX_RUN_NUMBER = 2 ** 31 - 1; // two runs get the same number once in two thousand million

/** Options of `ChangeFeed`. */
export interface ChangeFeedOptions {
  clock: Clock;
  random: RandomSource;
  state: MeshState;
}

/** Whether this relay reads the source, and which readers it follows. */
export interface ReaderRole {
  isReader: boolean;
  /** Control addresses of the readers that this relay follows. */
  readers: readonly string[];
}

/**
 * Serves the changes of this relay's state to peers. A peer that is up to date
 * is held in a long poll until the next change.
 */
export class ChangeFeed {
  readonly #options: ChangeFeedOptions;
  /** Sent with each response, so that peers notice a restart. */
  readonly #run: string;
  readonly #pendingPolls = new Set<PendingPoll>();
  #contactMs = -Infinity;

  constructor(options: ChangeFeedOptions) {
    this.#options = options;
    this.#run = options.random.nextInt(MAX_RUN_NUMBER).toString(36);
  }

  /**
   * Records that the source has just responded, and completes the polls that
   * were held for at least `MIN_HOLD_MS`, so that followers know that their
   * state is fresh.
   */
  recordSourceContact(): void {
    const nowMs = this.#options.clock.monotonicMs();
    this.#contactMs = nowMs;
    this.#completePolls(({sinceMs}) => nowMs - sinceMs >= MIN_HOLD_MS);
  }

  /** Completes all pending polls, because the state has changed. */
  notifyStateChanged(): void {
    this.#completePolls(() => true);
  }

  /**
   * Responds to a poll of a peer: at once when there are changes or this relay
   * is not a reader, otherwise at a change, at a contact with the source or
   * when the wait is over.
   *
   * @param role returns the current role of this relay; called again after the
   *     wait.
   */
  async respond(
    request: FeedRequest,
    role: () => ReaderRole,
  ): Promise<FeedResponse> {
    const {state} = this.#options;
    const startMs = this.#options.clock.monotonicMs();
    const isFollower = request.run === this.#run;
    const isCurrent =
      isFollower &&
      request.sequence === state.sequence &&
      request.version >= (state.config?.version ?? 0);
    if (isCurrent && role().isReader && request.waitMs > 0) {
      await this.#wait(Math.min(request.waitMs, MAX_WAIT_MS));
    }
    return {
      ...this.#createResponse(request, isFollower, role()),
      heldMs: Math.round(this.#options.clock.monotonicMs() - startMs),
    };
  }

  #createResponse(
    request: FeedRequest,
    isFollower: boolean,
    role: ReaderRole,
  ): FeedResponse {
    const {clock, state} = this.#options;
    const contactAgeMs = Math.min(
      Number.MAX_SAFE_INTEGER,
      Math.round(clock.monotonicMs() - this.#contactMs),
    );
    // A new follower that already has this revision of the source only needs later changes.
    const hasRevision = state.revision <= request.revision;
    const startSequence = hasRevision ? state.sequence : undefined;
    const update = state.updateSince(
      isFollower ? request.sequence : startSequence,
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

  #completePolls(isDue: (poll: PendingPoll) => boolean): void {
    for (const poll of [...this.#pendingPolls].filter(isDue)) {
      this.#pendingPolls.delete(poll);
      poll.complete();
    }
  }

  #wait(waitMs: number): Promise<void> {
    const {clock} = this.#options;
    return new Promise(resolve => {
      const poll: PendingPoll = {
        sinceMs: clock.monotonicMs(),
        complete: () => {
          timer.cancel();
          resolve();
        },
      };
      const timer: Timer = clock.setTimer(waitMs, () => {
        this.#pendingPolls.delete(poll);
        resolve();
      });
      this.#pendingPolls.add(poll);
    });
  }
}

interface PendingPoll {
  sinceMs: number;
  complete: () => void;
}
