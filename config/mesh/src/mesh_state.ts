import type {Clock, ServiceName} from '@carobseam/core.types';
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
import {RouteTable} from './route_table.js';
import {eraOf, type SourceRevision} from './source_revision.js';
import {
  isFromCopy,
  type WorkerChange,
  type WorkerEntry,
} from './worker_entry.js';

const REMOVED_TTL_MS = 60_000; // several times as long as the users' store keeps its history

/** Options of `MeshState`. */
export interface MeshStateOptions {
  clock: Clock;
  /** How long removals are held back after an outage of the source, in ms. */
  removalGraceMs: number;
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
  readonly #heldRemovals = new Map<WorkerId, SourceRevision>();
  #revision = 0 as SourceRevision;
  #sequence = 0;
  /** Sequence number at which the workers were last indexed. */
  #indexedSequence = 0;
  readonly #configs: ConfigHistory;
  #routes?: RouteTable;
  #byService = new Map<ServiceName, MeshWorker[]>();
  #byAddress = new Map<string, MeshWorker>();
  #graceUntilMs = -Infinity;

  constructor(options: MeshStateOptions) {
    this.#options = options;
    this.#configs = new ConfigHistory(options.clock);
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
   * Holds removals back for the grace period. Called after an outage of the
   * source, because the entries of running workers may have expired in it.
   */
  startRemovalGracePeriod(): void {
    this.#graceUntilMs =
      this.#options.clock.monotonicMs() + this.#options.removalGraceMs;
    this.#options.clock.setTimer(this.#options.removalGraceMs, () =>
      this.#applyHeldRemovals(),
    );
  }

  /** Applies changes; those that are older than the state are ignored. */
  applyChanges(changes: MeshChanges): void {
    // Set first, so that `onChange` sees the revision that brought the change.
    this.#advanceTo(changes.revision);
    changes.intermediateConfigs?.forEach(config =>
      this.#configs.addIntermediate(config),
    );
    this.#applyConfig(changes.config, changes.configAgeMs ?? 0);
    for (const change of changes.workers) {
      this.#applyWorker(change);
    }
    this.#updateIndexes();
  }

  /** Applies a full read; entries that it lacks are removed. */
  applySnapshot(snapshot: MeshSnapshot): void {
    if (snapshot.revision < this.#revision) {
      return;
    }
    this.#advanceTo(snapshot.revision);
    const present = new Set(snapshot.workers.map(change => change.id));
    for (const [id, entry] of this.#byId) {
      if (entry.worker && !present.has(id)) {
        this.#applyWorker({id, revision: snapshot.revision});
      }
    }
    this.applyChanges(snapshot);
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
    };
  }

  /**
   * Applies an update from a peer.
   *
   * @return false when the update has a newer configuration as a delta that
   *     cannot be applied to the current one. Its worker changes are applied.
   */
  applyUpdate(update: MeshUpdate): boolean {
    const {configDelta, isWhole, workers} = update;
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
      this.applySnapshot(changes);
    } else {
      this.applyChanges(changes);
    }
    return isApplied;
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
      this.startRemovalGracePeriod();
      this.#options.onChange?.({
        kind: 'sourceRestored',
        era: eraOf(revision),
      });
    }
  }

  /**
   * The newest revision up to which peers receive every change: just below the
   * oldest removal that is held back.
   */
  #fullyAppliedRevision(): SourceRevision {
    const oldestHeld = Math.min(...this.#heldRemovals.values());
    return Math.min(this.#revision, oldestHeld - 1) as SourceRevision;
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

  #applyWorker(change: WorkerChange): void {
    const previous = this.#byId.get(change.id);
    if (previous && previous.revision >= change.revision) {
      return;
    }
    const isRemoved = !previous?.worker || this.#heldRemovals.has(change.id);
    if (previous && isFromCopy(previous, change, isRemoved)) {
      this.#options.onChange?.({kind: 'restoredEntryIgnored', id: change.id});
      return;
    }
    if (!change.worker && previous?.worker && this.#isInGracePeriod()) {
      this.#heldRemovals.set(change.id, change.revision);
      this.#options.onChange?.({kind: 'removalHeld', id: change.id});
      return;
    }
    this.#heldRemovals.delete(change.id);
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

  #isInGracePeriod(): boolean {
    return this.#options.clock.monotonicMs() < this.#graceUntilMs;
  }

  #applyHeldRemovals(): void {
    if (this.#isInGracePeriod()) {
      return;
    }
    for (const [id, revision] of this.#heldRemovals) {
      this.#setEntry({id, revision});
    }
    this.#heldRemovals.clear();
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
