import type {ConfigDelta} from './config_delta.js';
import type {MeshConfig} from './mesh_config.js';
import type {MeshWorker, WorkerId} from './mesh_worker.js';
import type {RemovalOrigin} from './removal_decisions.js';
import type {SourceRevision} from './source_revision.js';
import type {WorkerChange} from './worker_entry.js';

/** Changes of the source up to and including one revision. */
export interface MeshChanges {
  revision: SourceRevision;
  config?: MeshConfig;
  /** Versions between the previous one and `config`; deltas for peers start from them. */
  intermediateConfigs?: readonly MeshConfig[];
  /** Number of versions that were transferred, `config` included; 1 when absent. */
  configVersionCount?: number;
  workers: readonly WorkerChange[];
  /** Time since `config` was first received from the source, in ms; 0 when absent. */
  configAgeMs?: number;
}

/** Complete state of a source at one revision. */
export type MeshSnapshot = MeshChanges;

/** The changes that a peer lacks; sent in the responses to its polls. */
export interface MeshUpdate {
  /** Sequence number of the sender's last change. */
  sequence: number;
  /** The sender's state contains every change of the source up to this revision. */
  revision: SourceRevision;
  /**
   * The full configuration; present when no delta from the receiver's version is
   * available and the receiver accepts a full one.
   */
  config?: MeshConfig;
  configDelta?: ConfigDelta;
  /** Time since the sender's version was first received from the source, in ms. */
  configAgeMs?: number;
  /**
   * Whether a newer configuration exists but could not be sent: no delta is
   * available and the receiver does not accept a full one. The receiver must
   * then get it elsewhere.
   */
  lacksVersion: boolean;
  workers: readonly WorkerChange[];
  /** Whether `workers` lists every worker, not only the changed ones. */
  isWhole: boolean;
  /**
   * Whether the sender has followed the source long enough to know every running
   * worker; one that has just started may lack entries that expired before.
   */
  isEstablished: boolean;
}

/** A single change of the state; reported to `onChange`. */
export type MeshStateChange =
  | {
      kind: 'config';
      version: number;
      /** Time since the version was first received from the source, in ms. */
      ageMs: number;
    }
  | {kind: 'worker'; worker: MeshWorker}
  | {kind: 'workerRemoved'; id: WorkerId}
  | {kind: 'removalHeld'; id: WorkerId; origin: RemovalOrigin}
  | {kind: 'restoredEntryIgnored'; id: WorkerId}
  /** The source was restored from an older copy. */
  | {kind: 'sourceRestored'; era: number};
