import type {MeshChanges, MeshSnapshot} from './mesh_changes.js';
import type {SourceRevision} from './source_revision.js';

/**
 * The configuration source: the store that publishes the configuration and the
 * entries of all workers, and numbers each change with a revision.
 */
export interface MeshSource {
  /** Reads the complete state. Rejects when the source is unreachable. */
  read(): Promise<MeshSnapshot>;
  /**
   * Waits for changes after a revision. Resolves without changes when there
   * were none within `waitMs`, and with `undefined` when the source no longer
   * has the history since that revision.
   */
  watch(
    after: SourceRevision,
    waitMs: number,
  ): Promise<MeshChanges | undefined>;
  /** Aborts all calls. */
  close(): void;
}
