import type {Clock} from '@carobseam/core.types';
import type {CrashMark} from '@carobseam/fleet.types';
import {CrashLog} from './crash_log.js';
import type {InFlightRequest} from './crash_mark_store.js';
import {CrashMarkTable} from './crash_mark_table.js';

/** Time after which a mark expires. */
export const CRASH_MARK_VALIDITY_MS = 10 * 60_000;

/** Limit of marked requests per crash; a worker has about 20 slots. */
export const MAX_REQUESTS_PER_CRASH = 128;

/**
 * Without a start time, a crash counts as separate when the earlier mark is at
 * least this old. Crashes with a common cause are assumed to be closer.
 */
const MIN_CRASH_SEPARATION_MS = 1000;

/** Marks with which a request counts as a possible cause of crashes. */
const MIN_REPEATED_MARKS = 2;

/** Options of `CrashMarks`. */
export interface CrashMarksOptions {
  clock: Clock;
  /** Crashes in a row of runs of a request after which it is refused. */
  crashLimit: number;
}

/**
 * Decides which requests are refused because they crash workers, from the
 * crashes that this process or another one observed. Performs no I/O.
 */
export class CrashMarks {
  readonly #clock: Clock;
  readonly #crashLimit: number;
  readonly #markTable = new CrashMarkTable();
  readonly #crashLog = new CrashLog();

  constructor({clock, crashLimit}: CrashMarksOptions) {
    this.#clock = clock;
    this.#crashLimit = crashLimit;
  }

  /** Number of marked fingerprints. */
  get size(): number {
    this.#removeExpired();
    return this.#markTable.size;
  }

  /** All marks, with the time until each of them expires. */
  list(): CrashMark[] {
    this.#removeExpired();
    const nowMs = this.#clock.monotonicMs();
    return [...this.#markTable.all()].map(
      ({fingerprint, crashId, afterCrashId, expiresMs}) => ({
        fingerprint,
        crashId,
        afterCrashId,
        remainingMs: Math.max(0, expiresMs - nowMs),
      }),
    );
  }

  /**
   * A request is refused when runs of it ended in a crash several times in a row,
   * each run started after the mark of an earlier crash was known, unless
   * something else explains these crashes: another request with at least as many
   * marks that was in flight at most of them, or a common cause such as a deployment. Then the request was in
   * flight at less than half of the crashes between its first and its last mark,
   * without those that other repeatedly marked requests explain.
   */
  isRefused(fingerprint: string): boolean {
    this.#removeExpired();
    const marks = this.#markTable.marksFor(fingerprint);
    const repeated = marks.filter(mark => mark.afterCrashId !== undefined);
    if (repeated.length < this.#crashLimit - 1) {
      return false;
    }
    const ownIds = new Set(marks.map(({crashId}) => crashId));
    const suspectIds = this.#crashIdsOfOthers(fingerprint, marks.length);
    const explained = [...ownIds].filter(id => suspectIds.has(id));
    if (explained.length * 2 > ownIds.size) {
      return false;
    }
    const times = marks.map(mark => mark.seenMs);
    const repeatedIds = this.#crashIdsOfOthers(fingerprint, MIN_REPEATED_MARKS);
    const unexplained = this.#crashLog
      .idsBetween(Math.min(...times), Math.max(...times))
      .filter(id => ownIds.has(id) || !repeatedIds.has(id));
    return marks.length * 2 >= unexplained.length;
  }

  /**
   * Marks the requests that were in flight at one crash.
   *
   * @return the marks, for other processes.
   */
  recordCrash(
    crashId: string,
    requests: readonly (string | InFlightRequest)[],
  ): CrashMark[] {
    this.#removeExpired();
    const nowMs = this.#clock.monotonicMs();
    this.#crashLog.add(crashId, nowMs);
    const added: CrashMark[] = [];
    for (const [fingerprint, startedMs] of latestStartByFingerprint(requests)) {
      const afterCrashId = this.#findPrecedingCrashId(
        {fingerprint, crashId},
        startedMs,
        nowMs,
      );
      const mark = {
        fingerprint,
        crashId,
        afterCrashId,
        remainingMs: CRASH_MARK_VALIDITY_MS,
      };
      this.#addMark(mark);
      added.push(mark);
    }
    return added;
  }

  /** Adds a mark of a crash that another process observed. */
  add(mark: CrashMark): void {
    this.#removeExpired();
    this.#crashLog.add(mark.crashId, this.#clock.monotonicMs());
    this.#addMark(mark);
  }

  /**
   * Clears the marks of a request that has completed, but not of a refused one,
   * which stays refused until its marks expire.
   *
   * @return whether there were marks to clear.
   */
  clear(fingerprint: string): boolean {
    if (this.#markTable.size === 0) {
      return false;
    }
    const marks = this.#markTable.marksFor(fingerprint);
    if (marks.length === 0 || this.isRefused(fingerprint)) {
      return false;
    }
    this.#markTable.remove(fingerprint);
    return true;
  }

  /** Crashes at which another request with so many marks was in flight. */
  #crashIdsOfOthers(fingerprint: string, minMarks: number): Set<string> {
    const crashIds = new Set<string>();
    for (const mark of this.#markTable.all()) {
      const isCounted =
        mark.fingerprint !== fingerprint &&
        this.#markTable.marksFor(mark.fingerprint).length >= minMarks;
      if (isCounted) {
        crashIds.add(mark.crashId);
      }
    }
    return crashIds;
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

  #addMark({remainingMs, ...mark}: CrashMark): void {
    const seenMs = this.#clock.monotonicMs();
    const validityMs = Math.min(remainingMs, CRASH_MARK_VALIDITY_MS);
    this.#markTable.add({...mark, seenMs, expiresMs: seenMs + validityMs});
  }

  #removeExpired(): void {
    this.#markTable.removeExpired(this.#clock.monotonicMs());
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
