// Limit of stored crashes; a day has fewer than 200 restarts.
const MAX_CRASHES = 256;

/** Times at which this daemon learned of the crashes in its data centre. */
export class CrashLog {
  readonly #seenMsById = new Map<string, number>();

  /** Adds a crash; a crash that is already listed keeps its time. */
  add(crashId: string, seenMs: number): void {
    if (this.#seenMsById.has(crashId)) {
      return;
    }
    this.#seenMsById.set(crashId, seenMs);
    if (this.#seenMsById.size > MAX_CRASHES) {
      const [oldest] = this.#seenMsById.keys();
      this.#seenMsById.delete(oldest!);
    }
  }

  /** Counts the crashes from `startMs` to `endMs`, both included. */
  countBetween(startMs: number, endMs: number): number {
    let count = 0;
    for (const seenMs of this.#seenMsById.values()) {
      count += seenMs >= startMs && seenMs <= endMs ? 1 : 0;
    }
    return count;
  }
}
