import type {Clock, DataCentreName, ServiceName} from '@carobseam/core.types';
import {applyConfigDelta} from './config_delta.js';
import {ConfigHistory} from './config_history.js';
import type {
  MeshChanges,
  MeshSnapshot,
  MeshStateChange,
  MeshUpdate,
} from './mesh_changes.js';
import type {MeshConfig} from './mesh_config.js';
import type {MeshWorker, WorkerId} from './mesh_worker.js';
import {RemovalDecisions, type RemovalOrigin} from './removal_decisions.js';
import {RouteTable} from './route_table.js';
import {
  eraOf,
  firstRevisionOf,
  type SourceRevision,
} from './source_revision.js';
import {
  isFromCopy,
  type WorkerChange,
  type WorkerEntry,
} from './worker_entry.js';

const REMOVED_TTL_MS = 60_000; // several times as long as the users' store keeps its history

/** Options of `MeshState`. */
export interface MeshStateOptions {
  clock: Clock;
  /** Data centre of this process. */
  dataCentre: DataCentreName;
  /**
   * Time after the return of the source by which workers that are gone must not
   * be used any more, in ms.
   */
  contactMs: number;
  /** Called for each single change. */
  onChange?: (change: MeshStateChange) => void;
  /** Called once after a batch of changes has been applied and indexed. */
  onApplied?: () => void;
}

/**
 * The newest configuration and worker entries that this process has received,
 * from the source or from peers. Neither the configuration nor an entry is ever
 * replaced by an older one, also when the source is restored from an older copy:
 * the configuration's version and the worker's own report number decide then.
 */
export class MeshState {
  readonly #options: MeshStateOptions;
  readonly #byId = new Map<WorkerId, WorkerEntry>();
  readonly #removals: RemovalDecisions;
  #revision = 0 as SourceRevision;
  #sequence = 0;
  /** Sequence number at which the workers were last indexed. */
  #indexedSequence = 0;
  readonly #configs: ConfigHistory;
  #routes?: RouteTable;
  #byService = new Map<ServiceName, MeshWorker[]>();
  #byAddress = new Map<string, MeshWorker>();

  constructor(options: MeshStateOptions) {
    const {clock, dataCentre, contactMs} = options;
    this.#options = options;
    this.#configs = new ConfigHistory(clock);
    this.#removals = new RemovalDecisions({
      clock,
      dataCentre,
      contactMs,
      onDue: () => this.#applyDueRemovals(),
    });
  }

  /** Newest revision of the source that was applied. */
  get revision(): SourceRevision {
    return this.#revision;
  }

  /** Number of changes of the configuration and of worker entries so far. */
  get sequence(): number {
    return this.#sequence;
  }

  get config(): MeshConfig | undefined {
    return this.#configs.newest;
  }

  get routes(): RouteTable | undefined {
    return this.#routes;
  }

  /** Whether workers are kept for now although their entries are missing. */
  get holdsRemovals(): boolean {
    return this.#removals.hasHeld;
  }

  /** Workers of a service, including those that are leaving. */
  workersOf(service: ServiceName): readonly MeshWorker[] {
    return this.#byService.get(service) ?? [];
  }

  /** The newest worker with an address. */
  workerAt(address: string): MeshWorker | undefined {
    return this.#byAddress.get(address);
  }

  /**
   * Whether a worker was seen before and is gone: its entry was removed or a
   * newer worker has its address.
   */
  isGone(id: WorkerId): boolean {
    const entry = this.#byId.get(id);
    const {worker} = entry ?? {};
    return entry !== undefined && (!worker || this.#isSuperseded(worker));
  }

  /** All workers whose entries have not been removed. */
  *workers(): IterableIterator<MeshWorker> {
    for (const entry of this.#byId.values()) {
      if (entry.worker) {
        yield entry.worker;
      }
    }
  }

  /**
   * Records that a call to the source failed.
   *
   * @param unavailableMs a time at which the source was unavailable or, for the
   *     first failure, since when it may be; on the monotonic clock, in ms.
   */
  recordSourceFailure(unavailableMs: number): void {
    this.#removals.recordFailure(unavailableMs);
  }

  /** Records that the source responds again; its state may still be missing. */
  recordSourceResponse(): void {
    this.#removals.recordResponse();
  }

  /**
   * Ends an outage of the source, if there is one, before the first state after
   * it is applied.
   *
   * @return duration of the outage in ms; undefined if there was none.
   */
  endSourceOutage(): number | undefined {
    return this.#removals.endOutage();
  }

  /** Applies changes of the source; those that are older than the state are ignored. */
  applyChanges(changes: MeshChanges): void {
    this.#applyChanges(changes, 'source');
  }

  /** Applies a full read of the source; entries that it lacks are removed. */
  applySnapshot(snapshot: MeshSnapshot): void {
    this.#applySnapshot(snapshot, 'source');
  }

  /**
   * Returns the changes that a peer lacks.
   *
   * @param sequence sequence number up to which the peer has the changes of this
   *     state; undefined when it has not followed this state before.
   * @param version version of the configuration that the peer has; 0 for none.
   * @param acceptsWhole whether the peer accepts a full configuration.
   */
  updateSince(
    sequence: number | undefined,
    version: number,
    acceptsWhole: boolean,
  ): MeshUpdate {
    const isWhole = sequence === undefined;
    const workers: WorkerChange[] = [];
    for (const [id, entry] of this.#byId) {
      if (isWhole ? entry.worker : entry.sequence > sequence) {
        workers.push({id, revision: entry.revision, worker: entry.worker});
      }
    }
    return {
      sequence: this.#sequence,
      revision: this.#fullyAppliedRevision(),
      configAgeMs: this.#configs.ageMs,
      ...this.#configs.updateSince(version, acceptsWhole),
      workers,
      isWhole,
      isEstablished: this.#removals.isEstablished,
    };
  }

  /**
   * Applies an update from a peer.
   *
   * @return false when the update has a newer configuration as a delta that
   *     cannot be applied to the current one. Its worker changes are applied.
   */
  applyUpdate(update: MeshUpdate): boolean {
    const {configDelta, isWhole, isEstablished, workers} = update;
    const isNewer = (configDelta?.to ?? 0) > (this.config?.version ?? 0);
    const patchedConfig =
      isNewer && this.config
        ? applyConfigDelta(this.config, configDelta!)
        : undefined;
    const isApplied = !isNewer || patchedConfig !== undefined;
    // If the delta was not applied, the revision stays, so that the change is fetched again.
    const revision = isApplied ? update.revision : this.#revision;
    const changes = {
      revision,
      config: update.config ?? patchedConfig,
      configAgeMs: update.configAgeMs,
      workers,
    };
    if (isWhole) {
      this.#applySnapshot(changes, isEstablished ? 'peerState' : 'newPeer');
    } else {
      this.#applyChanges(changes, 'peerChange');
    }
    return isApplied;
  }

  #applyChanges(changes: MeshChanges, origin: RemovalOrigin): void {
    // Set first, so that `onChange` sees the revision that brought the change.
    this.#advanceTo(changes.revision);
    changes.intermediateConfigs?.forEach(config =>
      this.#configs.addIntermediate(config),
    );
    this.#applyConfig(changes.config, changes.configAgeMs ?? 0);
    for (const change of changes.workers) {
      this.#applyWorker(change, origin);
    }
    this.#removals.recordState();
    this.#updateIndexes();
  }

  #applySnapshot(snapshot: MeshSnapshot, origin: RemovalOrigin): void {
    if (snapshot.revision < this.#revision) {
      return;
    }
    // The missing entries were removed at some time after this revision.
    const precedingRevision = Math.max(
      this.#revision,
      firstRevisionOf(eraOf(snapshot.revision)),
    ) as SourceRevision;
    this.#advanceTo(snapshot.revision);
    const present = new Set(snapshot.workers.map(change => change.id));
    for (const [id, entry] of this.#byId) {
      if (entry.worker && !present.has(id)) {
        const removal = {id, revision: snapshot.revision};
        this.#applyWorker(removal, origin, precedingRevision);
      }
    }
    this.#applyChanges(snapshot, origin);
  }

  #advanceTo(revision: SourceRevision): void {
    if (revision <= this.#revision) {
      return;
    }
    const isRestored =
      this.#revision > 0 && eraOf(revision) > eraOf(this.#revision);
    this.#revision = revision;
    if (isRestored) {
      // The copy lacks the entries of workers that were registered after it.
      this.#removals.recordRestore();
      this.#options.onChange?.({
        kind: 'sourceRestored',
        era: eraOf(revision),
      });
    }
  }

  /**
   * The newest revision up to which peers receive every change: before the
   * removals that are held back.
   */
  #fullyAppliedRevision(): SourceRevision {
    const precedingRevision = this.#removals.precedingRevision();
    return Math.min(this.#revision, precedingRevision) as SourceRevision;
  }

  #applyConfig(config: MeshConfig | undefined, ageMs: number): void {
    if (!config || !this.#configs.accept(config, ageMs)) {
      return;
    }
    this.#sequence++;
    this.#routes = new RouteTable(config);
    this.#options.onChange?.({
      kind: 'config',
      version: config.version,
      ageMs: this.#configs.ageMs,
    });
  }

  #applyWorker(
    change: WorkerChange,
    origin: RemovalOrigin,
    precedingRevision = (change.revision - 1) as SourceRevision,
  ): void {
    const {id, revision} = change;
    const previous = this.#byId.get(id);
    if (previous && previous.revision >= revision) {
      return;
    }
    const isRemoved = !previous?.worker || this.#removals.isHeld(id);
    if (previous && isFromCopy(previous, change, isRemoved)) {
      this.#options.onChange?.({kind: 'restoredEntryIgnored', id});
      return;
    }
    const isHeld =
      !change.worker &&
      previous?.worker !== undefined &&
      this.#removals.keeps(previous.worker, origin);
    if (isHeld) {
      if (!this.#removals.isHeld(id)) {
        this.#options.onChange?.({kind: 'removalHeld', id, origin});
      }
      this.#removals.hold(id, {revision, precedingRevision});
      return;
    }
    this.#removals.release(id);
    this.#setEntry(change);
  }

  #setEntry(change: WorkerChange): void {
    const previous = this.#byId.get(change.id);
    const wasPresent = previous?.worker !== undefined;
    const {revision, worker} = change;
    const removedMs = worker ? undefined : this.#options.clock.monotonicMs();
    const removedWorker = worker
      ? undefined
      : (previous?.worker ?? previous?.removedWorker);
    this.#byId.set(change.id, {
      revision,
      worker,
      removedWorker,
      sequence: ++this.#sequence,
      removedMs,
    });
    if (change.worker) {
      this.#options.onChange?.({kind: 'worker', worker: change.worker});
    } else if (wasPresent) {
      this.#options.onChange?.({kind: 'workerRemoved', id: change.id});
    }
  }

  #applyDueRemovals(): void {
    for (const [id, {revision}] of this.#removals.takeDue()) {
      this.#setEntry({id, revision});
    }
    this.#updateIndexes();
  }

  #updateIndexes(): void {
    this.#dropOldRemovals();
    if (this.#sequence === this.#indexedSequence) {
      return;
    }
    this.#indexedSequence = this.#sequence;
    this.#byAddress = new Map();
    for (const worker of this.workers()) {
      const other = this.#byAddress.get(worker.address);
      if (!other || this.#isNewer(worker, other)) {
        this.#byAddress.set(worker.address, worker);
      }
    }
    const byService = new Map<ServiceName, MeshWorker[]>();
    for (const worker of this.#byAddress.values()) {
      const workers = byService.get(worker.service);
      if (workers) {
        workers.push(worker);
      } else {
        byService.set(worker.service, [worker]);
      }
    }
    this.#byService = byService;
    this.#options.onApplied?.();
  }

  #dropOldRemovals(): void {
    const oldestMs = this.#options.clock.monotonicMs() - REMOVED_TTL_MS;
    for (const [id, {removedMs = Infinity}] of this.#byId) {
      if (removedMs < oldestMs) {
        this.#byId.delete(id);
      }
    }
  }

  /**
   * Compares two workers with one address: the entry of a crashed worker
   * remains until it expires, next to the entry of its successor. An entry of
   * another writer may name a worker's address with a service that no route
   * names; it replaces no worker of a service that is named.
   */
  #isNewer(a: MeshWorker, b: MeshWorker): boolean {
    const isNamed = this.#routes?.namesService(a.service);
    if (isNamed !== this.#routes?.namesService(b.service)) {
      return isNamed === true;
    }
    if (a.bornMs !== b.bornMs) {
      return a.bornMs > b.bornMs;
    }
    return this.#byId.get(a.id)!.revision > this.#byId.get(b.id)!.revision;
  }

  #isSuperseded(worker: MeshWorker): boolean {
    return this.#byAddress.get(worker.address)?.id !== worker.id;
  }
}
