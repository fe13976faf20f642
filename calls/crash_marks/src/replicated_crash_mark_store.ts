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

/** Options of a `SpreadCrashMarkBook`. */
export interface ReplicatedCrashMarkStoreOptions {
  blackboard: DaemonBlackboard;
  broadcaster: NoticeBroadcaster;
  clock: Clock;
  metrics: Metrics;
}

/** Time for which a mark holds, ms. */
export const CRASH_MARK_VALIDITY_MS = 10 * 60_000;

/** Requests that are marked for one crash; a worker has about 20 slots. */
export const MAX_REQUESTS_PER_CRASH = 128;

/**
 * Age of a mark from which on a crash without start times is another event.
 * Not measured: crashes of one common cause are assumed to be closer.
 */
const SEPARATE_CRASH_MS = 1000;

/** Marks arrive in bursts, and the slot lists all of them. */
const PUBLISH_DELAY_MS = 100;

/** Crash marks of the data centre, exchanged with the other daemons. */
export class ReplicatedCrashMarkStore implements CrashMarkStore {
  readonly #options: ReplicatedCrashMarkStoreOptions;
  readonly #marked = new CrashMarkTable();
  readonly #crashes = new CrashLog();
  #publishTimer?: Timer;

  constructor(options: ReplicatedCrashMarkStoreOptions) {
    this.#options = options;
  }

  /** Cancels the pending write of the slot. */
  close(): void {
    this.#publishTimer?.cancel();
  }

  get hasMarks(): boolean {
    this.#expire();
    return this.#marked.size > 0;
  }

  /**
   * Two crashes count when the request was started again after the first mark
   * was known, and when the request was in flight at half or more of the
   * crashes from its first mark to its last: crashes of another common cause
   * mostly lack it.
   */
  isRefused(fingerprint: string): boolean {
    this.#expire();
    const marks = this.#marked.marksFor(fingerprint);
    if (!marks.some(mark => mark.afterCrashId !== undefined)) {
      return false;
    }
    const times = marks.map(mark => mark.seenMs);
    const crashes = this.#crashes.countBetween(
      Math.min(...times),
      Math.max(...times),
    );
    return marks.length * 2 >= crashes;
  }

  recordCrash(
    crashId: string,
    requests: readonly (string | InFlightRequest)[],
  ): void {
    this.#expire();
    const nowMs = this.#options.clock.monotonicMs();
    this.#crashes.add(crashId, nowMs);
    for (const [fingerprint, startedMs] of latestStarts(requests)) {
      const afterCrashId = this.#precedingCrash(
        {fingerprint, crashId},
        startedMs,
        nowMs,
      );
      this.#add({fingerprint, crashId, afterCrashId}, CRASH_MARK_VALIDITY_MS);
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
    this.#publish();
  }

  recordCompletion(fingerprint: string): void {
    if (this.#clear(fingerprint)) {
      this.#options.broadcaster.broadcast({
        kind: 'crash_mark_cleared',
        fingerprint,
      });
    }
  }

  /** Takes a notice of another daemon; other kinds are ignored. */
  handleNotice(notice: Notice): void {
    if (notice.kind === 'crash_mark') {
      const {remainingMs, ...mark} = notice.mark;
      this.#expire();
      this.#crashes.add(mark.crashId, this.#options.clock.monotonicMs());
      this.#add(mark, Math.min(remainingMs, CRASH_MARK_VALIDITY_MS));
      this.#publish();
    } else if (notice.kind === 'crash_mark_cleared') {
      this.#clear(notice.fingerprint);
    }
  }

  #precedingCrash(
    {fingerprint, crashId}: Pick<CrashMark, 'fingerprint' | 'crashId'>,
    startedMs: number | undefined,
    nowMs: number,
  ): string | undefined {
    const latestSeenMs = startedMs ?? nowMs - SEPARATE_CRASH_MS;
    const preceding = this.#marked
      .marksFor(fingerprint)
      .find(mark => mark.crashId !== crashId && mark.seenMs <= latestSeenMs);
    return preceding?.crashId;
  }

  #add(mark: Omit<CrashMark, 'remainingMs'>, remainingMs: number): void {
    const seenMs = this.#options.clock.monotonicMs();
    const added: ReceivedCrashMark = {
      ...mark,
      seenMs,
      expiresMs: seenMs + remainingMs,
    };
    this.#marked.add(added);
  }

  /** Whether there was a mark to clear. A refused request stays refused. */
  #clear(fingerprint: string): boolean {
    if (this.#marked.size === 0) {
      return false;
    }
    const marks = this.#marked.marksFor(fingerprint);
    if (marks.length === 0 || this.isRefused(fingerprint)) {
      return false;
    }
    this.#marked.remove(fingerprint);
    this.#publish();
    return true;
  }

  #expire(): void {
    if (this.#marked.removeExpired(this.#options.clock.monotonicMs())) {
      this.#publish();
    }
  }

  #publish(): void {
    const {clock, metrics} = this.#options;
    metrics.set('carobseam_crash_marks', this.#marked.size);
    this.#publishTimer ??= clock.setTimer(PUBLISH_DELAY_MS, () => {
      this.#publishTimer = undefined;
      this.#writeSlot();
    });
  }

  #writeSlot(): void {
    const {blackboard, clock} = this.#options;
    const nowMs = clock.monotonicMs();
    const marks = [...this.#marked.all()].map(
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

/** The last start of each fingerprint; undefined when a start is unknown. */
function latestStarts(
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
