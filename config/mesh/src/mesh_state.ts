import type {Clock, ServiceName} from '@carobseam/core.types';
import {
  applyConfigDelta,
  diffConfigs,
  type ConfigDelta,
} from './config_delta.js';
import type {MeshConfig} from './mesh_config.js';
import type {MeshWorker, SourceRevision, WorkerId} from './mesh_worker.js';
import {RouteTable} from './route_table.js';

const MAX_RECENT_CONFIGS = 16; // changes of a second, as fast as the users' operators make them
const REMOVED_TTL_MS = 60_000; // several times the history that the users' store keeps

/** One change of a worker's entry; `worker` is absent when it was removed. */
export interface WorkerChange {
  id: WorkerId;
  revision: SourceRevision;
  worker?: MeshWorker;
}

/** Changes up to and including one revision. */
export interface MeshChanges {
  revision: SourceRevision;
  config?: MeshConfig;
  /** Versions between the last one and `config`, for peers that have them. */
  intermediateConfigs?: readonly MeshConfig[];
  /** Versions that were read to get at `config`; one when not stated. */
  configVersionCount?: number;
  workers: readonly WorkerChange[];
}

/** Everything that a source held at one revision. */
export type MeshSnapshot = MeshChanges;

/** What changed since a peer last asked. */
export interface MeshUpdate {
  /** Place in the sender's own order of changes. */
  sequence: number;
  /** Every change of the source up to this revision is part of the state. */
  revision: SourceRevision;
  /** Present when the receiver accepts it and its version is unknown here. */
  config?: MeshConfig;
  configDelta?: ConfigDelta;
  /** Whether the receiver must get the configuration elsewhere. */
  lacksVersion: boolean;
  workers: readonly WorkerChange[];
  /** Whether `workers` names every worker. */
  isWhole: boolean;
}

/** Options of `MeshState`. */
export interface MeshStateOptions {
  clock: Clock;
  /** How long removals are held back after the source returned, in ms. */
  removalGraceMs: number;
  /** Called for each change. */
  onChange?: (change: MeshStateChange) => void;
  /** Called when a reading changed something and all of it is in force. */
  onApplied?: () => void;
}

/** What changed, for logs and for the parts that follow the state. */
export type MeshStateChange =
  | {kind: 'config'; version: number}
  | {kind: 'worker'; worker: MeshWorker}
  | {kind: 'workerRemoved'; id: WorkerId}
  | {kind: 'removalHeld'; id: WorkerId};

interface WorkerSlot {
  revision: SourceRevision;
  worker?: MeshWorker;
  /** Place in this process' own order of changes. */
  sequence: number;
  /** When the entry was removed, on the monotonic clock, in ms. */
  removedMs?: number;
}

/**
 * The newest configuration and workers that this process has seen. Neither a
 * version nor a worker's entry ever goes back to an older one.
 */
export class MeshState {
  readonly #options: MeshStateOptions;
  readonly #slots = new Map<WorkerId, WorkerSlot>();
  readonly #heldRemovals = new Map<WorkerId, SourceRevision>();
  #revision = 0 as SourceRevision;
  #sequence = 0;
  /** Sequence for which the workers were last indexed. */
  #indexedSequence = 0;
  #recentConfigs: MeshConfig[] = [];
  #lastDelta?: ConfigDelta;
  #config?: MeshConfig;
  #routes?: RouteTable;
  #byService = new Map<ServiceName, MeshWorker[]>();
  #byAddress = new Map<string, MeshWorker>();
  #holdUntilMs = -Infinity;

  constructor(options: MeshStateOptions) {
    this.#options = options;
  }

  get revision(): SourceRevision {
    return this.#revision;
  }

  /** Grows with each change of the configuration or of a worker. */
  get sequence(): number {
    return this.#sequence;
  }

  get config(): MeshConfig | undefined {
    return this.#config;
  }

  get routes(): RouteTable | undefined {
    return this.#routes;
  }

  /** Workers of a service, leaving ones included. */
  workersOf(service: ServiceName): readonly MeshWorker[] {
    return this.#byService.get(service) ?? [];
  }

  /** The newest worker at an address. */
  workerAt(address: string): MeshWorker | undefined {
    return this.#byAddress.get(address);
  }

  /** Whether a worker was seen and has left or lost its address to another. */
  isGone(id: WorkerId): boolean {
    const slot = this.#slots.get(id);
    const {worker} = slot ?? {};
    return slot !== undefined && (!worker || this.#isSuperseded(worker));
  }

  *workers(): IterableIterator<MeshWorker> {
    for (const slot of this.#slots.values()) {
      if (slot.worker) {
        yield slot.worker;
      }
    }
  }

  /** Holds removals back, because entries may have lapsed in an outage. */
  startRemovalGracePeriod(): void {
    this.#holdUntilMs =
      this.#options.clock.monotonicMs() + this.#options.removalGraceMs;
    this.#options.clock.setTimer(this.#options.removalGraceMs, () =>
      this.#removeHeld(),
    );
  }

  applyChanges(changes: MeshChanges): void {
    // First, so that what is told of each change names its revision.
    if (changes.revision > this.#revision) {
      this.#revision = changes.revision;
    }
    changes.intermediateConfigs?.forEach(config => this.#remember(config));
    this.#applyConfig(changes.config);
    for (const change of changes.workers) {
      this.#applyWorker(change);
    }
    this.#finish();
  }

  /** Applies a full reading; entries that it lacks are removed. */
  applySnapshot(snapshot: MeshSnapshot): void {
    if (snapshot.revision < this.#revision) {
      return;
    }
    const present = new Set(snapshot.workers.map(change => change.id));
    for (const [id, slot] of this.#slots) {
      if (slot.worker && !present.has(id)) {
        this.#applyWorker({id, revision: snapshot.revision});
      }
    }
    this.applyChanges(snapshot);
  }

  /**
   * What a peer lacks.
   *
   * @param sequence place up to which the peer follows this state; undefined
   *     when it did not follow it before.
   * @param version configuration that the peer has; 0 for none.
   * @param acceptsWhole whether the peer takes a whole configuration.
   */
  updateSince(
    sequence: number | undefined,
    version: number,
    acceptsWhole: boolean,
  ): MeshUpdate {
    const isWhole = sequence === undefined;
    const workers: WorkerChange[] = [];
    for (const [id, slot] of this.#slots) {
      if (isWhole ? slot.worker : slot.sequence > sequence) {
        workers.push({id, revision: slot.revision, worker: slot.worker});
      }
    }
    return {
      sequence: this.#sequence,
      revision: this.#settledRevision(),
      ...this.#configSince(version, acceptsWhole),
      workers,
      isWhole,
    };
  }

  /**
   * Applies what a peer has sent.
   *
   * @return false when its configuration does not fit the one that is here.
   */
  applyUpdate(update: MeshUpdate): boolean {
    const {configDelta, isWhole, workers} = update;
    const isNewer = (configDelta?.to ?? 0) > (this.#config?.version ?? 0);
    const patched =
      isNewer && this.#config
        ? applyConfigDelta(this.#config, configDelta!)
        : undefined;
    const isFitting = !isNewer || patched !== undefined;
    // A revision that is only partly applied must be read again.
    const revision = isFitting ? update.revision : this.#revision;
    const changes = {revision, config: update.config ?? patched, workers};
    if (isWhole) {
      this.applySnapshot(changes);
    } else {
      this.applyChanges(changes);
    }
    return isFitting;
  }

  #configSince(
    version: number,
    acceptsWhole: boolean,
  ): Pick<MeshUpdate, 'config' | 'configDelta' | 'lacksVersion'> {
    const config = this.#config;
    if (!config || config.version <= version) {
      return {lacksVersion: false};
    }
    const known = this.#recentConfigs.find(
      recent => recent.version === version,
    );
    if (!known) {
      return acceptsWhole
        ? {config, lacksVersion: false}
        : {lacksVersion: true};
    }
    if (
      this.#lastDelta?.from !== version ||
      this.#lastDelta.to !== config.version
    ) {
      this.#lastDelta = diffConfigs(known, config);
    }
    return {configDelta: this.#lastDelta, lacksVersion: false};
  }

  /** Removals that are held back are not part of the state yet. */
  #settledRevision(): SourceRevision {
    const held = Math.min(...this.#heldRemovals.values());
    return Math.min(this.#revision, held - 1) as SourceRevision;
  }

  #applyConfig(config: MeshConfig | undefined): void {
    if (!config || config.version <= (this.#config?.version ?? 0)) {
      return;
    }
    this.#config = config;
    this.#remember(config);
    this.#sequence++;
    this.#routes = new RouteTable(config);
    this.#options.onChange?.({kind: 'config', version: config.version});
  }

  #remember(config: MeshConfig): void {
    this.#recentConfigs.push(config);
    if (this.#recentConfigs.length > MAX_RECENT_CONFIGS) {
      this.#recentConfigs.shift();
    }
  }

  #applyWorker(change: WorkerChange): void {
    const known = this.#slots.get(change.id);
    if (known && known.revision >= change.revision) {
      return;
    }
    if (!change.worker && known?.worker && this.#isHolding()) {
      this.#heldRemovals.set(change.id, change.revision);
      this.#options.onChange?.({kind: 'removalHeld', id: change.id});
      return;
    }
    this.#heldRemovals.delete(change.id);
    this.#setSlot(change);
  }

  #setSlot(change: WorkerChange): void {
    const wasKnown = this.#slots.get(change.id)?.worker !== undefined;
    const {revision, worker} = change;
    const removedMs = worker ? undefined : this.#options.clock.monotonicMs();
    const sequence = ++this.#sequence;
    this.#slots.set(change.id, {revision, worker, sequence, removedMs});
    if (change.worker) {
      this.#options.onChange?.({kind: 'worker', worker: change.worker});
    } else if (wasKnown) {
      this.#options.onChange?.({kind: 'workerRemoved', id: change.id});
    }
  }

  #isHolding(): boolean {
    return this.#options.clock.monotonicMs() < this.#holdUntilMs;
  }

  #removeHeld(): void {
    if (this.#isHolding()) {
      return;
    }
    for (const [id, revision] of this.#heldRemovals) {
      this.#setSlot({id, revision});
    }
    this.#heldRemovals.clear();
    this.#finish();
  }

  #finish(): void {
    this.#forgetOldRemovals();
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
      const list = byService.get(worker.service);
      if (list) {
        list.push(worker);
      } else {
        byService.set(worker.service, [worker]);
      }
    }
    this.#byService = byService;
    this.#options.onApplied?.();
  }

  #forgetOldRemovals(): void {
    const oldestMs = this.#options.clock.monotonicMs() - REMOVED_TTL_MS;
    for (const [id, {removedMs = Infinity}] of this.#slots) {
      if (removedMs < oldestMs) {
        this.#slots.delete(id);
      }
    }
  }

  /** The entry of a worker that crashed stays until it lapses. */
  #isNewer(a: MeshWorker, b: MeshWorker): boolean {
    if (a.bornMs !== b.bornMs) {
      return a.bornMs > b.bornMs;
    }
    return this.#slots.get(a.id)!.revision > this.#slots.get(b.id)!.revision;
  }

  #isSuperseded(worker: MeshWorker): boolean {
    return this.#byAddress.get(worker.address)?.id !== worker.id;
  }
}
