/** What the workers have run. */
export class Ledger {
  readonly #runs = new Map<string, number>();
  readonly #lastRunMs = new Map<string, number>();

  ran(requestId: string, workerId: string): void {
    this.#runs.set(requestId, this.runsOf(requestId) + 1);
    this.#lastRunMs.set(workerId, performance.now());
  }

  runsOf(requestId: string): number {
    return this.#runs.get(requestId) ?? 0;
  }

  /** When a worker last began a request, on `performance.now`, in ms. */
  lastRunMs(workerId: string): number {
    return this.#lastRunMs.get(workerId) ?? -Infinity;
  }
}
