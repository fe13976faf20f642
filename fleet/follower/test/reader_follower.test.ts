import {
  MeshState,
  type MeshChanges,
  type MeshSource,
  type RouteName,
  type SourceRevision,
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
  ReaderFollower,
  SourceFollower,
  ChangeFeed,
  type FeedResponse,
  type FeedRequest,
} from '@carobseam/fleet.follower';
import {expect} from 'chai';

const READER_CANDIDATES = 2;
const ROUTE_COUNT = 200;
const LATENCY_MS = 2;
const MAX_PROPAGATION_MS = 2500; // limit for a change in the users' larger deployments
const START_MS = 6000; // longer than the search for readers takes

/** In-memory configuration source of all relays; counts the calls of each relay. */
class SharedSource {
  /** Number of calls by relay, reads and watches. */
  readonly calls: number[] = [];
  readonly reads: number[] = [];
  /** Relays that get no response. */
  readonly unresponsiveFor = new Set<number>();
  revision = 0;
  version = 0;
  readonly #clock: ManualClock;
  readonly #pendingWatches = new Set<() => void>();

  constructor(clock: ManualClock) {
    this.#clock = clock;
  }

  /** Publishes a new version and wakes all watches. */
  publish(): void {
    this.revision++;
    this.version++;
    const watches = [...this.#pendingWatches];
    this.#pendingWatches.clear();
    watches.forEach(wake => wake());
  }

  /** Returns the source as one relay calls it. */
  createSourceFor(relay: number, workers: MeshChanges['workers']): MeshSource {
    this.calls[relay] = 0;
    this.reads[relay] = 0;
    const respond = async (): Promise<MeshChanges> => {
      await this.#sleep(LATENCY_MS);
      if (this.unresponsiveFor.has(relay)) {
        await this.#sleep(3500);
        throw new Error('timed out');
      }
      return {
        revision: this.revision as SourceRevision,
        config: createConfig(this.version),
        workers: [],
      };
    };
    return {
      probe: async () => {
        this.calls[relay]!++;
        await respond();
      },
      read: async () => {
        this.calls[relay]!++;
        this.reads[relay]!++;
        return {...(await respond()), workers};
      },
      watch: async (after, waitMs) => {
        this.calls[relay]!++;
        if (this.revision <= after && !this.unresponsiveFor.has(relay)) {
          await Promise.race([
            this.#sleep(waitMs),
            new Promise<void>(resolve => this.#pendingWatches.add(resolve)),
          ]);
        }
        const changes = await respond();
        return this.revision > after
          ? changes
          : {...changes, config: undefined};
      },
      close: () => {},
    };
  }

  #sleep(durationMs: number): Promise<void> {
    return new Promise(resolve => this.#clock.setTimer(durationMs, resolve));
  }
}

function createConfig(version: number) {
  return {
    version: version as ConfigVersion,
    routes: Array.from({length: ROUTE_COUNT}, (_, index) => ({
      name: `r${index}` as RouteName,
      host: 'a.example',
      pathPrefix: `/${index}/`,
      isIdempotent: true,
      timeoutMs: index === 0 ? version : 1000,
      targetLatencyMs: 500,
      rank: 1,
      maxAttempts: 2,
      shares: [{service: 'desk' as ServiceName, weight: 1}],
    })),
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  };
}

const addressOf = (relay: number) => `10.0.0.${relay + 10}:9`;

/**
 * Starts the relays of a data centre; the first `candidateCount` of them have a
 * high-bandwidth link and can be readers. The last `remoteCount` relays are in
 * another data centre and can be readers too.
 */
function startDataCentre(
  count: number,
  candidateCount = READER_CANDIDATES,
  remoteCount = 0,
) {
  const isRemote = (relay: number) => relay >= count - remoteCount;
  const clock = new ManualClock();
  const source = new SharedSource(clock);
  const stopped = new Set<number>();
  const receivedBytes: number[] = [];
  const workers = Array.from({length: count}, (_, relay) => ({
    id: `i-${relay}` as WorkerId,
    revision: 1 as SourceRevision,
    worker: {
      id: `i-${relay}` as WorkerId,
      service: 'desk' as ServiceName,
      address: `10.0.0.${relay + 10}:80`,
      dataCentre: 'wien' as DataCentreName,
      slots: 4,
      isLeaving: false,
      coldRemainingMs: 0,
      bornMs: 0,
    },
  }));
  const addressesOfOthers = (relay: number, areRemote: boolean) =>
    workers
      .map((_, index) => index)
      .filter(index => index !== relay && isRemote(index) === areRemote)
      .map(addressOf);
  source.publish();
  const relays = workers.map((_, relay) => {
    const state = new MeshState({
      clock,
      dataCentre: 'wien' as DataCentreName,
      contactMs: 3000,
      onApplied: () => feed.notifyStateChanged(),
    });
    const random = new SeededRandom(relay + 1);
    const feed: ChangeFeed = new ChangeFeed({clock, random, state});
    receivedBytes[relay] = 0;
    const fetchFeed = async (
      address: string,
      request: FeedRequest,
    ): Promise<FeedResponse> => {
      await new Promise<void>(resolve => clock.setTimer(LATENCY_MS, resolve));
      const peer = relays.findIndex((_, index) => addressOf(index) === address);
      if (stopped.has(peer) || stopped.has(relay)) {
        await new Promise<void>(resolve =>
          clock.setTimer(request.waitMs + 600, resolve),
        );
        throw new Error('timed out');
      }
      const {feed: peerFeed, readerFollower: peerReaderFollower} =
        relays[peer]!;
      const response = await peerFeed.respond(request, () => ({
        isReader: peerReaderFollower.isReader,
        readers: peerReaderFollower.readers,
      }));
      const body = JSON.stringify(response);
      receivedBytes[relay]! += body.length;
      return JSON.parse(body) as FeedResponse;
    };
    const readerFollower = new ReaderFollower({
      clock,
      state,
      logger: silentLogger,
      fetchFeed,
      canBeReader: relay < candidateCount || isRemote(relay),
      ownAddress: addressOf(relay),
      peerAddresses: () => addressesOfOthers(relay, isRemote(relay)),
      remotePeerAddresses: () => addressesOfOthers(relay, !isRemote(relay)),
      random,
    });
    const sourceFollower = new SourceFollower({
      clock,
      random,
      source: source.createSourceFor(relay, workers),
      state,
      logger: silentLogger,
      peerAddresses: () => [],
      fetchFeed,
      readers: readerFollower,
      hasLowBandwidthLink: relay >= candidateCount && !isRemote(relay),
      onContact: () => feed.recordSourceContact(),
    });
    return {state, feed, readerFollower, sourceFollower};
  });
  for (const {sourceFollower, readerFollower} of relays) {
    void sourceFollower.run();
    readerFollower.start();
  }
  const close = () =>
    relays.forEach(({sourceFollower, readerFollower}) => {
      sourceFollower.close();
      readerFollower.close();
    });
  const versions = () => relays.map(({state}) => state.config?.version);
  return {clock, source, relays, stopped, receivedBytes, versions, close};
}

/** Returns the time until every relay has the newest version, in ms. */
async function measurePropagationMs(
  dataCentre: ReturnType<typeof startDataCentre>,
) {
  for (let waitedMs = 0; waitedMs < 5000; waitedMs += 50) {
    if (dataCentre.versions().every(v => v === dataCentre.source.version)) {
      return waitedMs;
    }
    await dataCentre.clock.advanceAsync(50);
  }
  return Infinity;
}

describe('ReaderFollower', () => {
  it('guards against calls to the source by more than two relays', async () => {
    const dataCentre = startDataCentre(10);
    await dataCentre.clock.advanceAsync(START_MS);
    expect(
      dataCentre.relays.map(({readerFollower}) => readerFollower.isReader),
    ).to.deep.equal(
      dataCentre.relays.map((_, relay) => relay < READER_CANDIDATES),
    );
    dataCentre.source.calls.fill(0);
    for (let change = 0; change < 10; change++) {
      dataCentre.source.publish();
      await dataCentre.clock.advanceAsync(1000);
      expect(new Set(dataCentre.versions())).to.deep.equal(
        new Set([dataCentre.source.version]),
      );
    }
    const [first, second, ...others] = dataCentre.source.calls;
    expect(first! + second!).to.be.below(60);
    expect(others).to.deep.equal(others.map(() => 0));
    dataCentre.close();
  });

  it('guards against a full configuration being sent for a small change', async () => {
    const dataCentre = startDataCentre(8);
    await dataCentre.clock.advanceAsync(START_MS);
    dataCentre.receivedBytes.fill(0);
    dataCentre.source.publish();
    await dataCentre.clock.advanceAsync(400);
    const fullSize = JSON.stringify(createConfig(1)).length;
    expect(Math.max(...dataCentre.receivedBytes)).to.be.below(fullSize / 5);
    dataCentre.close();
  });

  it('makes every relay that can be a reader call the source itself when there are few relays', async () => {
    const dataCentre = startDataCentre(4, 4);
    await dataCentre.clock.advanceAsync(START_MS);
    expect(
      dataCentre.relays.some(({readerFollower}) => readerFollower.isFresh),
    ).to.equal(false);
    dataCentre.close();
  });

  it('guards against low-bandwidth links that carry whole configurations because there are few relays', async () => {
    const dataCentre = startDataCentre(4);
    await dataCentre.clock.advanceAsync(START_MS);
    expect(
      dataCentre.relays.map(({readerFollower}) => readerFollower.isFresh),
    ).to.deep.equal([false, false, true, true]);
    dataCentre.close();
  });

  it('guards against a change that is delayed because a reader stopped', async () => {
    const dataCentre = startDataCentre(8);
    await dataCentre.clock.advanceAsync(START_MS);
    dataCentre.stopped.add(0);
    dataCentre.source.publish();
    expect(await measurePropagationMs(dataCentre)).to.be.below(
      MAX_PROPAGATION_MS,
    );
    dataCentre.close();
  });

  it('guards against relays that keep calling the source after their readers return', async () => {
    const dataCentre = startDataCentre(8);
    await dataCentre.clock.advanceAsync(START_MS);
    dataCentre.source.reads.fill(0);
    dataCentre.stopped.add(0).add(1);
    await dataCentre.clock.advanceAsync(3000);
    const [, , ...reads] = dataCentre.source.reads;
    expect(new Set(reads), 'one full read each').to.deep.equal(new Set([1]));
    dataCentre.stopped.clear();
    await dataCentre.clock.advanceAsync(4000);
    dataCentre.source.calls.fill(0);
    await dataCentre.clock.advanceAsync(2000);
    const [, , ...calls] = dataCentre.source.calls;
    expect(calls).to.deep.equal(calls.map(() => 0));
    dataCentre.close();
  });

  it('guards against a reader that sends full configurations right after it resumed', async () => {
    const dataCentre = startDataCentre(8);
    await dataCentre.clock.advanceAsync(START_MS);
    dataCentre.stopped.add(0).add(1);
    for (let change = 0; change < 20; change++) {
      dataCentre.source.publish();
      await dataCentre.clock.advanceAsync(200);
    }
    dataCentre.receivedBytes.fill(0);
    dataCentre.stopped.clear();
    for (let change = 0; change < 10; change++) {
      dataCentre.source.publish();
      await dataCentre.clock.advanceAsync(200);
    }
    const fullSize = JSON.stringify(createConfig(1)).length;
    const [, , ...others] = dataCentre.receivedBytes;
    expect(Math.max(...others)).to.be.below(fullSize);
    expect(await measurePropagationMs(dataCentre)).to.be.below(
      MAX_PROPAGATION_MS,
    );
    dataCentre.close();
  });

  it('guards against a change that is delayed because both readers stopped at once', async () => {
    const dataCentre = startDataCentre(8);
    await dataCentre.clock.advanceAsync(START_MS);
    dataCentre.stopped.add(0).add(1);
    dataCentre.source.publish();
    expect(await measurePropagationMs(dataCentre)).to.be.below(
      MAX_PROPAGATION_MS,
    );
    dataCentre.close();
  });

  it('guards against a change that is delayed because most readers of the other data centre are silent too', async () => {
    for (let silentMs = 0; silentMs < 2400; silentMs += 200) {
      const dataCentre = startDataCentre(11, READER_CANDIDATES, 3);
      await dataCentre.clock.advanceAsync(START_MS);
      dataCentre.stopped.add(0).add(1).add(8).add(9);
      // A full read over a low-bandwidth link takes too long.
      [2, 3, 4, 5, 6, 7].forEach(relay =>
        dataCentre.source.unresponsiveFor.add(relay),
      );
      await dataCentre.clock.advanceAsync(silentMs);
      dataCentre.source.publish();
      await dataCentre.clock.advanceAsync(MAX_PROPAGATION_MS);
      expect(
        new Set(dataCentre.versions().slice(2, 8)),
        `readers silent for ${silentMs} ms`,
      ).to.deep.equal(new Set([dataCentre.source.version]));
      dataCentre.close();
    }
  });

  it('guards against a change that is delayed because the source responds to neither reader', async () => {
    const dataCentre = startDataCentre(8);
    await dataCentre.clock.advanceAsync(START_MS);
    dataCentre.source.unresponsiveFor.add(0).add(1);
    dataCentre.source.publish();
    await dataCentre.clock.advanceAsync(MAX_PROPAGATION_MS);
    const [, , ...others] = dataCentre.versions();
    expect(new Set(others)).to.deep.equal(new Set([dataCentre.source.version]));
    dataCentre.close();
  });

  it('makes a third relay a reader while the source does not respond to one of the two', async () => {
    const dataCentre = startDataCentre(9, 3);
    await dataCentre.clock.advanceAsync(START_MS);
    const roles = () =>
      dataCentre.relays.map(({readerFollower}) => readerFollower.isReader);
    expect(roles().slice(0, 4)).to.deep.equal([true, true, false, false]);
    dataCentre.source.unresponsiveFor.add(0);
    await dataCentre.clock.advanceAsync(5000);
    expect(roles().slice(2, 4)).to.deep.equal([true, false]);
    dataCentre.source.calls.fill(0);
    await dataCentre.clock.advanceAsync(2000);
    const [, , , ...others] = dataCentre.source.calls;
    expect(others).to.deep.equal(others.map(() => 0));
    dataCentre.close();
  });

  it('guards against a change that is delayed because the source does not respond to one reader', async () => {
    const dataCentre = startDataCentre(8);
    await dataCentre.clock.advanceAsync(START_MS);
    dataCentre.source.unresponsiveFor.add(0);
    dataCentre.source.publish();
    await dataCentre.clock.advanceAsync(500);
    const [, ...others] = dataCentre.versions();
    expect(new Set(others)).to.deep.equal(new Set([dataCentre.source.version]));
    dataCentre.close();
  });
});
