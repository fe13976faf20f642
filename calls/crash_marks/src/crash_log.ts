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

  /** Returns the crashes from `startMs` to `endMs`, both included. */
  idsBetween(startMs: number, endMs: number): string[] {
    return [...this.#seenMsById]
      .filter(([, seenMs]) => seenMs >= startMs && seenMs <= endMs)
      .map(([crashId]) => crashId);
  }
}
