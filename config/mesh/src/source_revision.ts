import type {Brand} from '@carobseam/core.types';

/**
 * Position in the history of the source. Increases with each change, also when
 * the source is restored from an older copy: its own numbers then go back, but a
 * new era begins.
 */
export type SourceRevision = Brand<number, 'SourceRevision'>;

const REVISIONS_PER_ERA = 1e12; // a thousand changes a second for 30 years; decimal, so that log lines show both parts

/**
 * Combines an era of the source with a revision number, which is unique only
 * within its era.
 */
export function toSourceRevision(
  era: number,
  revisionNumber: number,
): SourceRevision {
  return (era * REVISIONS_PER_ERA + revisionNumber) as SourceRevision;
}

/** Era of the source to which a revision belongs. */
export function eraOf(revision: SourceRevision): number {
  return Math.floor(revision / REVISIONS_PER_ERA);
}

/** The position before all changes of an era. */
export function firstRevisionOf(era: number): SourceRevision {
  return toSourceRevision(era, 0);
}

/** The source's own number of a revision, unique within its era. */
export function revisionNumberOf(revision: SourceRevision): number {
  return revision % REVISIONS_PER_ERA;
}
