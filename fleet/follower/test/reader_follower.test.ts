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

const WIDE = 2;
const ROUTES = 200;
const LATENCY_MS = 2;
const MAX_SPREAD_MS = 2500; // bound of the users' larger deployments
const START_MS = 6000; // more than a search of the data centre takes

/** The source of all relays; counts the calls of each. */
class SharedSource {
  readonly calls: number[] = [];
  readonly reads: number[] = [];
  readonly silentFor = new Set<number>();
  revision = 0;
  version = 0;
  readonly #clock: ManualClock;
  readonly #waiting = new Set<() => void>();

  constructor(clock: ManualClock) {
    this.#clock = clock;
  }

  change(): void {
    this.revision++;
    this.version++;
    const waiting = [...this.#waiting];
    this.#waiting.clear();
    waiting.forEach(wake => wake());
  }

  of(relay: number, workers: MeshChanges['workers']): MeshSource {
    this.calls[relay] = 0;
    this.reads[relay] = 0;
    const reply = async (): Promise<MeshChanges> => {
      await this.#pause(LATENCY_MS);
      if (this.silentFor.has(relay)) {
        await this.#pause(3500);
        throw new Error('silent');
      }
      return {
        revision: this.revision as SourceRevision,
        config: configOf(this.version),
        workers: [],
      };
    };
    return {
      read: async () => {
        this.calls[relay]!++;
        this.reads[relay]!++;
        return {...(await reply()), workers};
      },
      watch: async (after, waitMs) => {
        this.calls[relay]!++;
        if (this.revision <= after && !this.silentFor.has(relay)) {
          await Promise.race([
            this.#pause(waitMs),
            new Promise<void>(resolve => this.#waiting.add(resolve)),
          ]);
        }
        const changes = await reply();
        return this.revision > after
          ? changes
          : {...changes, config: undefined};
      },
      close: () => {},
    };
  }

  #pause(durationMs: number): Promise<void> {
    return new Promise(resolve => this.#clock.setTimer(durationMs, resolve));
  }
}

function configOf(version: number) {
  return {
    version: version as ConfigVersion,
    routes: Array.from({length: ROUTES}, (_, index) => ({
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

/** A data centre of relays, the first `wide` of which have a wide link. */
function createDataCentre(count: number, wide = WIDE) {
  const clock = new ManualClock();
  const source = new SharedSource(clock);
  const down = new Set<number>();
  const bytes: number[] = [];
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
  source.change();
  const relays = workers.map((_, relay) => {
    const state = new MeshState({
      clock,
      removalGraceMs: 2200,
      onApplied: () => feed.notifyStateChanged(),
    });
    const random = new SeededRandom(relay + 1);
    const feed: ChangeFeed = new ChangeFeed({clock, random, state});
    bytes[relay] = 0;
    const fetchFeed = async (
      address: string,
      request: FeedRequest,
    ): Promise<FeedResponse> => {
      await new Promise<void>(resolve => clock.setTimer(LATENCY_MS, resolve));
      const peer = relays.findIndex((_, index) => addressOf(index) === address);
      if (down.has(peer) || down.has(relay)) {
        await new Promise<void>(resolve =>
          clock.setTimer(request.waitMs + 600, resolve),
        );
        throw new Error('no answer');
      }
      const {feed: peerFeed, links: peerLinks} = relays[peer]!;
      const answer = await peerFeed.respond(request, () => ({
        isReader: peerLinks.isReader,
        readers: peerLinks.readers,
      }));
      const text = JSON.stringify(answer);
      bytes[relay]! += text.length;
      return JSON.parse(text) as FeedResponse;
    };
    const links = new ReaderFollower({
      clock,
      state,
      logger: silentLogger,
      fetchFeed,
      canBeReader: relay < wide,
      ownAddress: addressOf(relay),
      peerAddresses: () =>
        workers
          .map((_, index) => addressOf(index))
          .filter(address => address !== addressOf(relay)),
    });
    const follower = new SourceFollower({
      clock,
      random,
      source: source.of(relay, workers),
      state,
      logger: silentLogger,
      peerAddresses: () => [],
      fetchFeed,
      readers: links,
      hasLowBandwidthLink: relay >= wide,
      onContact: () => feed.recordSourceContact(),
    });
    return {state, feed, links, follower};
  });
  for (const {follower, links} of relays) {
    void follower.run();
    links.start();
  }
  const close = () =>
    relays.forEach(({follower, links}) => {
      follower.close();
      links.close();
    });
  const versions = () => relays.map(({state}) => state.config?.version);
  return {clock, source, relays, down, bytes, versions, close};
}

/** Time until every relay holds the newest version, in ms. */
async function spreadMs(centre: ReturnType<typeof createDataCentre>) {
  for (let waitedMs = 0; waitedMs < 5000; waitedMs += 50) {
    if (centre.versions().every(v => v === centre.source.version)) {
      return waitedMs;
    }
    await centre.clock.advanceAsync(50);
  }
  return Infinity;
}

describe('ReaderLinks', () => {
  it('leaves the calls to the source to two relays', async () => {
    const centre = createDataCentre(10);
    await centre.clock.advanceAsync(START_MS);
    expect(centre.relays.map(({links}) => links.isReader)).to.deep.equal(
      centre.relays.map((_, relay) => relay < WIDE),
    );
    centre.source.calls.fill(0);
    for (let change = 0; change < 10; change++) {
      centre.source.change();
      await centre.clock.advanceAsync(1000);
      expect(new Set(centre.versions())).to.deep.equal(
        new Set([centre.source.version]),
      );
    }
    const [first, second, ...others] = centre.source.calls;
    expect(first! + second!).to.be.below(60);
    expect(others).to.deep.equal(others.map(() => 0));
    centre.close();
  });

  it('carries a change of a large configuration in few bytes', async () => {
    const centre = createDataCentre(8);
    await centre.clock.advanceAsync(START_MS);
    centre.bytes.fill(0);
    centre.source.change();
    await centre.clock.advanceAsync(400);
    const whole = JSON.stringify(configOf(1)).length;
    expect(Math.max(...centre.bytes)).to.be.below(whole / 5);
    centre.close();
  });

  it('leaves every relay on its own where there are few', async () => {
    const centre = createDataCentre(4);
    await centre.clock.advanceAsync(START_MS);
    expect(centre.relays.some(({links}) => links.isFresh)).to.equal(false);
    centre.close();
  });

  it('guards against a reader that ends', async () => {
    const centre = createDataCentre(8);
    await centre.clock.advanceAsync(START_MS);
    centre.down.add(0);
    centre.source.change();
    expect(await spreadMs(centre)).to.be.below(MAX_SPREAD_MS);
    centre.close();
  });

  it('returns to its readers soon after they were silent', async () => {
    const centre = createDataCentre(8);
    await centre.clock.advanceAsync(START_MS);
    centre.source.reads.fill(0);
    centre.down.add(0).add(1);
    await centre.clock.advanceAsync(3000);
    const [, , ...reads] = centre.source.reads;
    expect(new Set(reads), 'one whole reading each').to.deep.equal(
      new Set([1]),
    );
    centre.down.clear();
    await centre.clock.advanceAsync(4000);
    centre.source.calls.fill(0);
    await centre.clock.advanceAsync(2000);
    const [, , ...calls] = centre.source.calls;
    expect(calls).to.deep.equal(calls.map(() => 0));
    centre.close();
  });

  it('guards against whole configurations from a reader that has just begun', async () => {
    const centre = createDataCentre(8);
    await centre.clock.advanceAsync(START_MS);
    centre.down.add(0).add(1);
    for (let change = 0; change < 20; change++) {
      centre.source.change();
      await centre.clock.advanceAsync(200);
    }
    centre.bytes.fill(0);
    centre.down.clear();
    for (let change = 0; change < 10; change++) {
      centre.source.change();
      await centre.clock.advanceAsync(200);
    }
    const whole = JSON.stringify(configOf(1)).length;
    const [, , ...thin] = centre.bytes;
    expect(Math.max(...thin)).to.be.below(whole);
    expect(await spreadMs(centre)).to.be.below(MAX_SPREAD_MS);
    centre.close();
  });

  it('guards against both readers that end at once', async () => {
    const centre = createDataCentre(8);
    await centre.clock.advanceAsync(START_MS);
    centre.down.add(0).add(1);
    centre.source.change();
    expect(await spreadMs(centre)).to.be.below(MAX_SPREAD_MS);
    centre.close();
  });

  it('guards against readers that the source leaves without an answer', async () => {
    const centre = createDataCentre(8);
    await centre.clock.advanceAsync(START_MS);
    centre.source.silentFor.add(0).add(1);
    centre.source.change();
    await centre.clock.advanceAsync(MAX_SPREAD_MS);
    const [, , ...others] = centre.versions();
    expect(new Set(others)).to.deep.equal(new Set([centre.source.version]));
    centre.close();
  });

  it('takes a third relay as reader while the source is silent to one', async () => {
    const centre = createDataCentre(9, 3);
    await centre.clock.advanceAsync(START_MS);
    const roles = () => centre.relays.map(({links}) => links.isReader);
    expect(roles().slice(0, 4)).to.deep.equal([true, true, false, false]);
    centre.source.silentFor.add(0);
    await centre.clock.advanceAsync(5000);
    expect(roles().slice(2, 4)).to.deep.equal([true, false]);
    centre.source.calls.fill(0);
    await centre.clock.advanceAsync(2000);
    const [, , , ...thin] = centre.source.calls;
    expect(thin).to.deep.equal(thin.map(() => 0));
    centre.close();
  });

  it('guards against one reader that the source leaves without an answer', async () => {
    const centre = createDataCentre(8);
    await centre.clock.advanceAsync(START_MS);
    centre.source.silentFor.add(0);
    centre.source.change();
    await centre.clock.advanceAsync(500);
    const [, ...others] = centre.versions();
    expect(new Set(others)).to.deep.equal(new Set([centre.source.version]));
    centre.close();
  });
});
