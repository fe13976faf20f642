import type {DaemonBlackboard} from '@carobseam/core.blackboard';
import type {Metrics} from '@carobseam/core.metrics';
import type {Clock, Timer} from '@carobseam/core.types';
import type {Notice, NoticeBroadcaster} from '@carobseam/fleet.types';
import type {CrashMarkStore, InFlightRequest} from './crash_mark_store.js';
import {CrashMarks} from './crash_marks.js';

export interface ReplicatedCrashMarkStoreOptions {
  blackboard: DaemonBlackboard;
  broadcaster: NoticeBroadcaster;
  clock: Clock;
  metrics: Metrics;
}

const CRASH_LIMIT = 2;

// Marks arrive in bursts, and each write to the blackboard lists all of them.
const PUBLISH_DELAY_MS = 100;

/**
 * Crash marks of the data centre. Each daemon broadcasts the marks of its local
 * worker's crashes to the other daemons, so that all of them refuse the same
 * requests.
 */
export class ReplicatedCrashMarkStore implements CrashMarkStore {
  readonly #options: ReplicatedCrashMarkStoreOptions;
  readonly #marks: CrashMarks;
  #publishTimer?: Timer;
  /** Number of marked requests that was last published. */
  #publishedSize = 0;

  constructor(options: ReplicatedCrashMarkStoreOptions) {
    this.#options = options;
    this.#marks = new CrashMarks({
      clock: options.clock,
      crashLimit: CRASH_LIMIT,
    });
  }

  /** Cancels the pending write to the blackboard. */
  close(): void {
    this.#publishTimer?.cancel();
  }

  get hasMarks(): boolean {
    return this.#afterExpiry(() => this.#marks.size > 0);
  }

  isRefused(fingerprint: string): boolean {
    return this.#afterExpiry(() => this.#marks.isRefused(fingerprint));
  }

  recordCrash(
    crashId: string,
    requests: readonly (string | InFlightRequest)[],
  ): void {
    for (const mark of this.#marks.recordCrash(crashId, requests)) {
      this.#options.broadcaster.broadcast({kind: 'crash_mark', mark});
    }
    this.#schedulePublish();
  }

  recordCompletion(fingerprint: string): void {
    if (this.#marks.clear(fingerprint)) {
      this.#schedulePublish();
      this.#options.broadcaster.broadcast({
        kind: 'crash_mark_cleared',
        fingerprint,
      });
    }
  }

  /** Handles a notice of another daemon; ignores other kinds of notices. */
  handleNotice(notice: Notice): void {
    if (notice.kind === 'crash_mark') {
      this.#marks.add(notice.mark);
      this.#schedulePublish();
    } else if (notice.kind === 'crash_mark_cleared') {
      if (this.#marks.clear(notice.fingerprint)) {
        this.#schedulePublish();
      }
    }
  }

  /** Returns the result of a read, which removes marks that have expired. */
  #afterExpiry<T>(read: () => T): T {
    const result = read();
    if (this.#marks.size !== this.#publishedSize) {
      this.#schedulePublish();
    }
    return result;
  }

  #schedulePublish(): void {
    const {clock, metrics} = this.#options;
    this.#publishedSize = this.#marks.size;
    metrics.set('carobseam_crash_marks', this.#publishedSize);
    this.#publishTimer ??= clock.setTimer(PUBLISH_DELAY_MS, () => {
      this.#publishTimer = undefined;
      this.#options.blackboard.write('crashMarks', this.#marks.list());
    });
  }
}
