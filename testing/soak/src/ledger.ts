/** How a run ended; `spoiled` when its worker destroyed the answer. */
export type RunEnding = 'answered' | 'spoiled' | 'cut';

/** One run of a request; times are on `performance.now`, in ms. */
export interface Run {
  workerId: string;
  vmIndex: number;
  startMs: number;
  /** Undefined while the worker is at work. */
  endMs?: number;
  ending?: RunEnding;
}

/** What the workers have run. */
export class Ledger {
  readonly #runs = new Map<string, Run[]>();
  readonly #lastRunMs = new Map<string, number>();
  readonly #arrivedIds = new Set<string>();

  /** Notes a request that a worker may still refuse. */
  recordArrival(requestId: string): void {
    this.#arrivedIds.add(requestId);
  }

  hasArrived(requestId: string): boolean {
    return this.#arrivedIds.has(requestId);
  }

  begin(requestId: string, workerId: string, vmIndex: number): Run {
    const run: Run = {workerId, vmIndex, startMs: performance.now()};
    this.#runs.set(requestId, [...this.runsOf(requestId), run]);
    this.#lastRunMs.set(workerId, run.startMs);
    return run;
  }

  runsOf(requestId: string): readonly Run[] {
    return this.#runs.get(requestId) ?? [];
  }

  /** When a worker last began a request, on `performance.now`, in ms. */
  lastRunMs(workerId: string): number {
    return this.#lastRunMs.get(workerId) ?? -Infinity;
  }
}

/** Notes the first ending of a run. */
export function endRun(run: Run, ending: RunEnding): void {
  run.ending ??= ending;
  run.endMs ??= performance.now();
}
