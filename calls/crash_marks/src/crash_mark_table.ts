import type {CrashMark} from '@carobseam/fleet.types';

/** A mark as one daemon holds it. */
export interface ReceivedCrashMark extends Omit<CrashMark, 'remainingMs'> {
  /** Monotonic time at which the mark arrived at this daemon, ms. */
  readonly seenMs: number;
  /** Monotonic time at which it expires, ms. */
  readonly expiresMs: number;
}

/** Fingerprints with marks; about 0.5 MB with all of their marks. */
export const MAX_MARKED_REQUESTS = 1024;

/** Two marks refuse a request; the rest shows its share of the crashes. */
export const MAX_MARKS_PER_REQUEST = 8;

/** Marks by fingerprint, bounded; the oldest single marks are evicted first. */
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

  /** Adds a mark; a crash counts once for a fingerprint. */
  add(mark: ReceivedCrashMark): void {
    const marks = this.#marks.get(mark.fingerprint) ?? [];
    if (
      marks.length >= MAX_MARKS_PER_REQUEST ||
      marks.some(({crashId}) => crashId === mark.crashId)
    ) {
      return;
    }
    marks.push(mark);
    this.#marks.set(mark.fingerprint, marks);
    this.#nextExpiryMs = Math.min(this.#nextExpiryMs, mark.expiresMs);
    if (this.#marks.size > MAX_MARKED_REQUESTS) {
      this.#evict();
    }
  }

  remove(fingerprint: string): void {
    this.#marks.delete(fingerprint);
  }

  /** Removes expired marks; whether there were any. */
  removeExpired(nowMs: number): boolean {
    if (nowMs < this.#nextExpiryMs) {
      return false;
    }
    this.#nextExpiryMs = Infinity;
    for (const [fingerprint, marks] of this.#marks) {
      this.#keep(
        fingerprint,
        marks.filter(mark => mark.expiresMs > nowMs),
      );
    }
    return true;
  }

  #keep(fingerprint: string, marks: ReceivedCrashMark[]): void {
    if (marks.length === 0) {
      this.#marks.delete(fingerprint);
      return;
    }
    this.#marks.set(fingerprint, marks);
    const expiries = marks.map(mark => mark.expiresMs);
    this.#nextExpiryMs = Math.min(this.#nextExpiryMs, ...expiries);
  }

  #evict(): void {
    let victim: string | undefined;
    for (const [fingerprint, marks] of this.#marks) {
      victim ??= fingerprint;
      if (marks.length === 1) {
        victim = fingerprint;
        break;
      }
    }
    this.#marks.delete(victim!);
  }
}
