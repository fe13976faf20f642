import type {DaemonBlackboard} from '@carobseam/core.blackboard';
import type {Metrics} from '@carobseam/core.metrics';
import type {Clock, Timer} from '@carobseam/core.types';
import type {
  CrashMark,
  Notice,
  NoticeBroadcaster,
} from '@carobseam/fleet.types';
import {CrashLog} from './crash_log.js';
import type {CrashMarkStore, InFlightRequest} from './crash_mark_store.js';
import {CrashMarkTable, type ReceivedCrashMark} from './crash_mark_table.js';

export interface ReplicatedCrashMarkStoreOptions {
  blackboard: DaemonBlackboard;
  broadcaster: NoticeBroadcaster;
  clock: Clock;
  metrics: Metrics;
}

/** Time after which a mark expires. */
export const CRASH_MARK_VALIDITY_MS = 10 * 60_000;

/** Limit of marked requests per crash; a worker has about 20 slots. */
export const MAX_REQUESTS_PER_CRASH = 128;

/**
 * Without a start time, a crash counts as separate when the earlier mark is at
 * least this old. Crashes with a common cause are assumed to be closer.
 */
const MIN_CRASH_SEPARATION_MS = 1000;

// Marks arrive in bursts, and each write to the blackboard lists all of them.
const PUBLISH_DELAY_MS = 100;

/**
 * Crash marks of the data centre. Each daemon broadcasts the marks of its local
 * worker's crashes to the other daemons, so that all of them refuse the same
 * requests.
 */
export class ReplicatedCrashMarkStore implements CrashMarkStore {
  readonly #options: ReplicatedCrashMarkStoreOptions;
  readonly #markTable = new CrashMarkTable();
  readonly #crashLog = new CrashLog();
  #publishTimer?: Timer;

  constructor(options: ReplicatedCrashMarkStoreOptions) {
    this.#options = options;
  }

  /** Cancels the pending write to the blackboard. */
  close(): void {
    this.#publishTimer?.cancel();
  }

  get hasMarks(): boolean {
    this.#removeExpired();
    return this.#markTable.size > 0;
  }

  /**
   * A request is refused when it was started again after the mark of an earlier
   * crash was known, and when it was in flight at half or more of the crashes
   * between its first and its last mark. When the crashes have another cause,
   * it was not in flight at most of them.
   */
  isRefused(fingerprint: string): boolean {
    this.#removeExpired();
    const marks = this.#markTable.marksFor(fingerprint);
    if (!marks.some(mark => mark.afterCrashId !== undefined)) {
      return false;
    }
    const times = marks.map(mark => mark.seenMs);
    const crashes = this.#crashLog.countBetween(
      Math.min(...times),
      Math.max(...times),
    );
    return marks.length * 2 >= crashes;
  }

  recordCrash(
    crashId: string,
    requests: readonly (string | InFlightRequest)[],
  ): void {
    this.#removeExpired();
    const nowMs = this.#options.clock.monotonicMs();
    this.#crashLog.add(crashId, nowMs);
    for (const [fingerprint, startedMs] of latestStartByFingerprint(requests)) {
      const afterCrashId = this.#findPrecedingCrashId(
        {fingerprint, crashId},
        startedMs,
        nowMs,
      );
      this.#addMark(
        {fingerprint, crashId, afterCrashId},
        CRASH_MARK_VALIDITY_MS,
      );
      this.#options.broadcaster.broadcast({
        kind: 'crash_mark',
        mark: {
          fingerprint,
          crashId,
          afterCrashId,
          remainingMs: CRASH_MARK_VALIDITY_MS,
        },
      });
    }
    this.#schedulePublish();
  }

  recordCompletion(fingerprint: string): void {
    if (this.#clearMarks(fingerprint)) {
      this.#options.broadcaster.broadcast({
        kind: 'crash_mark_cleared',
        fingerprint,
      });
    }
  }

  /** Handles a notice of another daemon; ignores other kinds of notices. */
  handleNotice(notice: Notice): void {
    if (notice.kind === 'crash_mark') {
      const {remainingMs, ...mark} = notice.mark;
      this.#removeExpired();
      this.#crashLog.add(mark.crashId, this.#options.clock.monotonicMs());
      this.#addMark(mark, Math.min(remainingMs, CRASH_MARK_VALIDITY_MS));
      this.#schedulePublish();
    } else if (notice.kind === 'crash_mark_cleared') {
      this.#clearMarks(notice.fingerprint);
    }
  }

  #findPrecedingCrashId(
    {fingerprint, crashId}: Pick<CrashMark, 'fingerprint' | 'crashId'>,
    startedMs: number | undefined,
    nowMs: number,
  ): string | undefined {
    const latestSeenMs = startedMs ?? nowMs - MIN_CRASH_SEPARATION_MS;
    const preceding = this.#markTable
      .marksFor(fingerprint)
      .find(mark => mark.crashId !== crashId && mark.seenMs <= latestSeenMs);
    return preceding?.crashId;
  }

  #addMark(mark: Omit<CrashMark, 'remainingMs'>, remainingMs: number): void {
    const seenMs = this.#options.clock.monotonicMs();
    const added: ReceivedCrashMark = {
      ...mark,
      seenMs,
      expiresMs: seenMs + remainingMs,
    };
    this.#markTable.add(added);
  }

  /**
   * Clears the marks of a request, but not of a refused one, which stays
   * refused until its marks expire.
   *
   * @returns whether there were marks to clear.
   */
  #clearMarks(fingerprint: string): boolean {
    if (this.#markTable.size === 0) {
      return false;
    }
    const marks = this.#markTable.marksFor(fingerprint);
    if (marks.length === 0 || this.isRefused(fingerprint)) {
      return false;
    }
    this.#markTable.remove(fingerprint);
    this.#schedulePublish();
    return true;
  }

  #removeExpired(): void {
    if (this.#markTable.removeExpired(this.#options.clock.monotonicMs())) {
      this.#schedulePublish();
    }
  }

  #schedulePublish(): void {
    const {clock, metrics} = this.#options;
    metrics.set('carobseam_crash_marks', this.#markTable.size);
    this.#publishTimer ??= clock.setTimer(PUBLISH_DELAY_MS, () => {
      this.#publishTimer = undefined;
      this.#writeToBlackboard();
    });
  }

  #writeToBlackboard(): void {
    const {blackboard, clock} = this.#options;
    const nowMs = clock.monotonicMs();
    const marks = [...this.#markTable.all()].map(
      ({fingerprint, crashId, afterCrashId, expiresMs}) => ({
        fingerprint,
        crashId,
        afterCrashId,
        remainingMs: Math.max(0, expiresMs - nowMs),
      }),
    );
    blackboard.write('crashMarks', marks);
  }
}

/**
 * Returns the latest start of each fingerprint; undefined when it is unknown. A
 * retry counts as started after any mark.
 */
function latestStartByFingerprint(
  requests: readonly (string | InFlightRequest)[],
): Map<string, number | undefined> {
  const starts = new Map<string, number | undefined>();
  for (const request of requests) {
    if (starts.size >= MAX_REQUESTS_PER_CRASH) {
      break;
    }
    if (typeof request === 'string') {
      starts.set(request, undefined);
      continue;
    }
    const {fingerprint} = request;
    const startedMs = request.resent ? Infinity : request.startedMonotonicMs;
    const knownMs = starts.get(fingerprint) ?? startedMs;
    starts.set(fingerprint, Math.max(knownMs, startedMs));
  }
  return starts;
}
