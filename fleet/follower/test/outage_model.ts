import {
  MeshState,
  toSourceRevision,
  type MeshChanges,
  type MeshSource,
  type MeshWorker,
  type SourceRevision,
  type WorkerChange,
  type WorkerId,
} from '@carobseam/config.mesh';
import {ManualClock, SeededRandom} from '@carobseam/core.clock';
import {silentLogger} from '@carobseam/core.logger';
import type {
  ConfigVersion,
  DataCentreName,
  ServiceName,
} from '@carobseam/core.types';
import {
  ChangeFeed,
  ReaderFollower,
  SourceFollower,
  type FeedRequest,
  type FeedResponse,
} from '@carobseam/fleet.follower';

const LATENCY_MS = 4;
const RESEND_AFTER_MS = [1000, 3000, 7000]; // what a cut drops is sent again at these times
const CALL_TIMEOUT_MS = 1000;
const POLL_TIMEOUT_MS = 600;
const SERVICE = 'desk' as ServiceName;

/** How the model's source fails. */
export type SourceFault = 'refusing' | 'silent';

/** Options of `OutageModel`. */
export interface OutageModelOptions {
  /** Number of relays in each data centre. */
  relayCounts: readonly number[];
  contactMs: number;
  seed: number;
}

/** A state of the model's source. */
export interface SourceCopy {
  entries: ReadonlyMap<WorkerId, Entry>;
  revision: number;
}

interface Relay {
  state: MeshState;
  feed: ChangeFeed;
  readerFollower: ReaderFollower;
  sourceFollower: SourceFollower;
}

interface Entry {
  revision: number;
  worker?: MeshWorker;
}

/**
 * Relays of several data centres that follow a source in virtual time, over
 * links that can be cut. What is sent in a cut arrives when TCP sends it again.
 */
export class OutageModel {
  readonly clock = new ManualClock();
  readonly #options: OutageModelOptions;
  readonly #relays: Relay[] = [];
  readonly #pendingWatches = new Set<() => void>();
  /** Until when each relay is cut off from the source. */
  readonly #cutUntilMs: number[] = [];
  /** Until when each data centre is cut off from the others. */
  readonly #isolatedUntilMs: number[] = [];
  #entries = new Map<WorkerId, Entry>();
  #revision = 1;
  #era = 1;
  #fault?: SourceFault;

  constructor(options: OutageModelOptions) {
    this.#options = options;
    const count = options.relayCounts.reduce((sum, size) => sum + size, 0);
    for (let relay = 0; relay < count; relay++) {
      this.#cutUntilMs.push(-Infinity);
      this.#isolatedUntilMs.push(-Infinity);
      this.put(relay);
    }
    for (let relay = 0; relay < count; relay++) {
      this.#relays.push(this.#start(relay));
    }
  }

  /** Registers the worker of a relay's VM, or changes its entry. */
  put(relay: number, change: Partial<MeshWorker> = {}): void {
    const worker = {...this.#createWorker(relay), ...change};
    this.#entries.set(worker.id, {revision: ++this.#revision, worker});
    this.#wakeWatches();
  }

  /** Removes the entry of a relay's worker: it has left, or the entry has expired. */
  remove(relay: number): void {
    this.#entries.set(idOf(relay), {revision: ++this.#revision});
    this.#wakeWatches();
  }

  /** Cuts a relay off from the source, but not from other relays. */
  cutFromSource(relay: number, durationMs: number): void {
    this.#cutUntilMs[relay] = this.clock.monotonicMs() + durationMs;
  }

  /** Cuts a data centre off from the source and from the other data centres. */
  cutDataCentre(dataCentre: number, durationMs: number): void {
    for (const relay of this.relaysOf(dataCentre)) {
      this.cutFromSource(relay, durationMs);
      this.#isolatedUntilMs[relay] = this.clock.monotonicMs() + durationMs;
    }
  }

  /** Makes the source fail for all relays; without a fault, it serves again. */
  setFault(fault?: SourceFault): void {
    this.#fault = fault;
    this.#wakeWatches();
  }

  /** Returns a copy of the source's state, for `restore`. */
  copy(): SourceCopy {
    return {entries: new Map(this.#entries), revision: this.#revision};
  }

  /** Restores the source from a copy; its revisions are given out again. */
  restore({entries, revision}: SourceCopy): void {
    this.#era++;
    this.#revision = revision;
    this.#entries = new Map(entries);
    this.#wakeWatches();
  }

  /** Starts a relay's process again, without what it knew. */
  restart(relay: number): void {
    this.#close(relay);
    this.#relays[relay] = this.#start(relay);
  }

  relaysOf(dataCentre: number): number[] {
    return this.#relays
      .map((_, relay) => relay)
      .filter(relay => this.#dataCentreOf(relay) === dataCentre);
  }

  /** Whether a relay sends requests to the worker of another one's VM. */
  uses(relay: number, workerRelay: number): boolean {
    return this.#relays
      [relay]!.state.workersOf(SERVICE)
      .some(({id, isLeaving}) => id === idOf(workerRelay) && !isLeaving);
  }

  isReader(relay: number): boolean {
    return this.#relays[relay]!.readerFollower.isReader;
  }

  close(): void {
    this.#relays.forEach((_, relay) => this.#close(relay));
  }

  #close(relay: number): void {
    const {sourceFollower, readerFollower} = this.#relays[relay]!;
    sourceFollower.close();
    readerFollower.close();
  }

  #start(relay: number): Relay {
    const {clock} = this;
    const random = new SeededRandom(this.#options.seed * 100 + relay);
    const state = new MeshState({
      clock,
      dataCentre: nameOf(this.#dataCentreOf(relay)),
      contactMs: this.#options.contactMs,
      onApplied: () => feed.notifyStateChanged(),
    });
    const feed: ChangeFeed = new ChangeFeed({clock, random, state});
    const listPeers = (isLocal: boolean) =>
      this.#cutUntilMs
        .map((_, peer) => peer)
        .filter(
          peer =>
            peer !== relay &&
            (this.#dataCentreOf(peer) === this.#dataCentreOf(relay)) ===
              isLocal,
        )
        .map(addressOf);
    const fetchFeed = (address: string, request: FeedRequest) =>
      this.#fetchFeed(relay, address, request);
    const readerFollower = new ReaderFollower({
      clock,
      state,
      logger: silentLogger,
      fetchFeed,
      canBeReader: true,
      ownAddress: addressOf(relay),
      peerAddresses: () => listPeers(true),
      remotePeerAddresses: () => listPeers(false),
      random,
    });
    const sourceFollower = new SourceFollower({
      clock,
      random,
      source: this.#sourceFor(relay),
      state,
      logger: silentLogger,
      peerAddresses: () => [...listPeers(true), ...listPeers(false)],
      fetchFeed,
      readers: readerFollower,
      hasLowBandwidthLink: false,
      onContact: () => feed.recordSourceContact(),
    });
    void sourceFollower.run();
    readerFollower.start();
    return {state, feed, readerFollower, sourceFollower};
  }

  #sourceFor(relay: number): MeshSource {
    const isCut = () => this.clock.monotonicMs() < this.#cutUntilMs[relay]!;
    const call = <T>(timeoutMs: number, respond: () => T | Promise<T>) =>
      this.#withTimeout(timeoutMs, async () => {
        await this.#deliver(isCut);
        this.#failIfUnavailable();
        const result = await respond();
        await this.#untilNotSilent();
        await this.#deliver(isCut);
        return result;
      });
    return {
      probe: () => call(CALL_TIMEOUT_MS, () => undefined),
      read: () => call(CALL_TIMEOUT_MS, () => this.#changesAfter(0)),
      watch: (after, waitMs) =>
        call(waitMs + CALL_TIMEOUT_MS, () => this.#watch(after, waitMs)),
      close: () => {},
    };
  }

  async #watch(
    after: SourceRevision,
    waitMs: number,
  ): Promise<MeshChanges | undefined> {
    const era = this.#era;
    const isInEra = after >= toSourceRevision(era, 0);
    if (isInEra && after === toSourceRevision(era, this.#revision)) {
      await Promise.race([
        this.#sleep(waitMs),
        new Promise<void>(resolve => this.#pendingWatches.add(resolve)),
      ]);
    }
    return isInEra && era === this.#era ? this.#changesAfter(after) : undefined;
  }

  #changesAfter(after: number): MeshChanges {
    const workers: WorkerChange[] = [...this.#entries].map(
      ([id, {revision, worker}]) => ({
        id,
        revision: toSourceRevision(this.#era, revision),
        worker,
      }),
    );
    return {
      revision: toSourceRevision(this.#era, this.#revision),
      config: createConfig(),
      workers: workers.filter(change =>
        after > 0 ? change.revision > after : change.worker !== undefined,
      ),
    };
  }

  async #fetchFeed(
    relay: number,
    address: string,
    request: FeedRequest,
  ): Promise<FeedResponse> {
    const peer = this.#cutUntilMs.findIndex((_, n) => addressOf(n) === address);
    const isCut = () =>
      this.#dataCentreOf(peer) !== this.#dataCentreOf(relay) &&
      this.clock.monotonicMs() <
        Math.max(this.#isolatedUntilMs[relay]!, this.#isolatedUntilMs[peer]!);
    return this.#withTimeout(request.waitMs + POLL_TIMEOUT_MS, async () => {
      await this.#deliver(isCut);
      const {feed, readerFollower} = this.#relays[peer]!;
      const response = await feed.respond(request, () => ({
        isReader: readerFollower.isReader,
        readers: readerFollower.readers,
      }));
      await this.#deliver(isCut);
      return JSON.parse(JSON.stringify(response)) as FeedResponse;
    });
  }

  /** Resolves when what is sent now arrives; what a cut drops is sent again. */
  async #deliver(isCut: () => boolean): Promise<void> {
    let waitedMs = 0;
    for (const resendMs of RESEND_AFTER_MS) {
      if (!isCut()) {
        await this.#sleep(LATENCY_MS);
        return;
      }
      await this.#sleep(resendMs - waitedMs);
      waitedMs = resendMs;
    }
    await new Promise(() => {});
  }

  #failIfUnavailable(): void {
    if (this.#fault === 'refusing') {
      throw new Error('the source refuses calls');
    }
  }

  /** A connection on which a response was lost stays silent for good. */
  async #untilNotSilent(): Promise<void> {
    if (this.#fault === 'silent') {
      await new Promise(() => {});
    }
    this.#failIfUnavailable();
  }

  #withTimeout<T>(timeoutMs: number, run: () => Promise<T>): Promise<T> {
    return Promise.race([
      run(),
      this.#sleep(timeoutMs).then(() => {
        throw new Error(`no response within ${timeoutMs} ms`);
      }),
    ]);
  }

  #sleep(durationMs: number): Promise<void> {
    return new Promise(resolve => this.clock.setTimer(durationMs, resolve));
  }

  #wakeWatches(): void {
    const watches = [...this.#pendingWatches];
    this.#pendingWatches.clear();
    watches.forEach(wake => wake());
  }

  #dataCentreOf(relay: number): number {
    let first = 0;
    return this.#options.relayCounts.findIndex(size => {
      first += size;
      return relay < first;
    });
  }

  #createWorker(relay: number): MeshWorker {
    return {
      id: idOf(relay),
      service: SERVICE,
      address: `10.0.0.${relay + 10}:80`,
      dataCentre: nameOf(this.#dataCentreOf(relay)),
      slots: 4,
      isLeaving: false,
      coldRemainingMs: 0,
      bornMs: 1,
    };
  }
}

function createConfig(): MeshChanges['config'] {
  return {
    version: 1 as ConfigVersion,
    routes: [],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
  };
}

function idOf(relay: number): WorkerId {
  return `i-${relay}` as WorkerId;
}

function addressOf(relay: number): string {
  return `10.0.0.${relay + 10}:9`;
}

function nameOf(dataCentre: number): DataCentreName {
  return `dc-${dataCentre}` as DataCentreName;
}
