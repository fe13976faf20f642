import type {MeshChanges, MeshSnapshot} from './mesh_changes.js';
import type {SourceRevision} from './source_revision.js';

/**
 * The configuration source: the store that publishes the configuration and the
 * entries of all workers, and numbers each change with a revision.
 */
export interface MeshSource {
  /**
   * Asks over a new connection whether the source responds; a connection that has
   * gone silent does not delay this. Rejects when it is unreachable.
   */
  probe(): Promise<void>;
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
