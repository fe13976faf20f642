import type {CrashMark} from '@carobseam/fleet.types';

/** A crash mark with the local times of the daemon that stores it. */
export interface ReceivedCrashMark extends Omit<CrashMark, 'remainingMs'> {
  /** Monotonic time at which the mark arrived at this daemon, ms. */
  readonly seenMs: number;
  /** Monotonic time at which it expires, ms. */
  readonly expiresMs: number;
}

/** Limit of fingerprints; about 0.5 MB with all of their marks. */
export const MAX_MARKED_FINGERPRINTS = 1024;

/**
 * Two marks may refuse a request; further ones show its share of the crashes.
 */
export const MAX_MARKS_PER_FINGERPRINT = 8;

/** Crash marks by fingerprint. When full, the oldest single mark is evicted. */
export class CrashMarkTable {
  readonly #marks = new Map<string, ReceivedCrashMark[]>();
  #nextExpiryMs = Infinity;

  /** Number of marked fingerprints. */
  get size(): number {
    return this.#marks.size;
  }

  marksFor(fingerprint: string): readonly ReceivedCrashMark[] {
    return this.#marks.get(fingerprint) ?? [];
  }

  *all(): Iterable<ReceivedCrashMark> {
    for (const marks of this.#marks.values()) {
      yield* marks;
    }
  }

  /** Adds a mark, unless the fingerprint already has one of the same crash. */
  add(mark: ReceivedCrashMark): void {
    const marks = this.#marks.get(mark.fingerprint) ?? [];
    if (
      marks.length >= MAX_MARKS_PER_FINGERPRINT ||
      marks.some(({crashId}) => crashId === mark.crashId)
    ) {
      return;
    }
    marks.push(mark);
    this.#marks.set(mark.fingerprint, marks);
    this.#nextExpiryMs = Math.min(this.#nextExpiryMs, mark.expiresMs);
    if (this.#marks.size > MAX_MARKED_FINGERPRINTS) {
      this.#evictOldest();
    }
  }

  remove(fingerprint: string): void {
    this.#marks.delete(fingerprint);
  }

  /** Removes expired marks; returns false if none can have expired yet. */
  removeExpired(nowMs: number): boolean {
    if (nowMs < this.#nextExpiryMs) {
      return false;
    }
    this.#nextExpiryMs = Infinity;
    for (const [fingerprint, marks] of this.#marks) {
      this.#setMarks(
        fingerprint,
        marks.filter(mark => mark.expiresMs > nowMs),
      );
    }
    return true;
  }

  #setMarks(fingerprint: string, marks: ReceivedCrashMark[]): void {
    if (marks.length === 0) {
      this.#marks.delete(fingerprint);
      return;
    }
    this.#marks.set(fingerprint, marks);
    const expiries = marks.map(mark => mark.expiresMs);
    this.#nextExpiryMs = Math.min(this.#nextExpiryMs, ...expiries);
  }

  #evictOldest(): void {
    let evicted: string | undefined;
    for (const [fingerprint, marks] of this.#marks) {
      evicted ??= fingerprint;
      if (marks.length === 1) {
        evicted = fingerprint;
        break;
      }
    }
    this.#marks.delete(evicted!);
  }
}
