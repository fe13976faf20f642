import type {MeshWorker, WorkerId} from './mesh_worker.js';
import {eraOf, type SourceRevision} from './source_revision.js';

/** A change of a worker's entry; `worker` is absent when the entry was removed. */
export interface WorkerChange {
  id: WorkerId;
  revision: SourceRevision;
  worker?: MeshWorker;
}

/** What a process knows of a worker's entry. */
export interface WorkerEntry {
  revision: SourceRevision;
  worker?: MeshWorker;
  /** The worker before its entry was removed. */
  removedWorker?: MeshWorker;
  /** Sequence number of the entry's last change, counted by this process. */
  sequence: number;
  /** Monotonic time at which the entry was removed, in ms. */
  removedMs?: number;
}

/**
 * Whether an entry is older than the known one, although its revision is newer:
 * a restored source sends the entries of the copy as new ones until their
 * workers have written again.
 *
 * @param isRemoved whether the known entry was removed, or is to be removed.
 */
export function isFromCopy(
  previous: WorkerEntry,
  change: WorkerChange,
  isRemoved: boolean,
): boolean {
  const known = previous.worker ?? previous.removedWorker;
  const {worker} = change;
  const isRestored = eraOf(change.revision) > eraOf(previous.revision);
  if (!known || !worker || !isRestored) {
    return false;
  }
  if (worker.bornMs !== known.bornMs) {
    return worker.bornMs < known.bornMs;
  }
  const {reportNumber} = worker;
  if (reportNumber === undefined || known.reportNumber === undefined) {
    return false;
  }
  return isRemoved
    ? reportNumber <= known.reportNumber
    : reportNumber < known.reportNumber;
}
