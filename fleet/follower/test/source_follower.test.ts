import {
  MeshState,
  toSourceRevision,
  type MeshChanges,
  type MeshSnapshot,
  type MeshSource,
  type SourceRevision,
} from '@carobseam/config.mesh';
import {ManualClock, SeededRandom} from '@carobseam/core.clock';
import {silentLogger} from '@carobseam/core.logger';
import type {ConfigVersion, DataCentreName} from '@carobseam/core.types';
import {SourceFollower} from '@carobseam/fleet.follower';
import {expect} from 'chai';

type ScriptedResponse = () => Promise<MeshChanges | undefined>;

/** A source whose responses a test defines one by one; then it never responds. */
class ScriptedSource implements MeshSource {
  reads = 0;
  probes = 0;
  watches: number[] = [];
  #responses: ScriptedResponse[];

  constructor(responses: ScriptedResponse[]) {
    this.#responses = responses;
  }

  /** Uses up the next response if it is a failure, and succeeds otherwise. */
  async probe(): Promise<void> {
    this.probes++;
    if (this.#responses[0] === failure) {
      await this.#respond();
    }
  }

  async read(): Promise<MeshSnapshot> {
    this.reads++;
    return (await this.#respond()) as MeshSnapshot;
  }

  watch(after: SourceRevision): Promise<MeshChanges | undefined> {
    this.watches.push(after);
    return this.#respond();
  }

  close(): void {}

  #respond(): Promise<MeshChanges | undefined> {
    return this.#responses.shift()?.() ?? new Promise(() => {});
  }
}

function createChanges(revision: number, version: number): MeshChanges {
  return {
    revision: revision as SourceRevision,
    config: {
      version: version as ConfigVersion,
      routes: [],
      limits: {
        maxHeaderBytes: 1,
        maxBodyBytes: 1,
        headerTimeoutMs: 1,
        idleTimeoutMs: 1,
      },
    },
    workers: [],
  };
}

const failure: ScriptedResponse = () =>
  Promise.reject(new Error('source is unavailable'));
const respondWith =
  (revision: number, version: number): ScriptedResponse =>
  () =>
    Promise.resolve(createChanges(revision, version));

async function runFollower(
  responses: ScriptedResponse[],
  durationMs: number,
  peerState?: MeshSnapshot,
  hasLowBandwidthLink = false,
) {
  const clock = new ManualClock();
  const state = new MeshState({
    clock,
    dataCentre: 'wien' as DataCentreName,
    contactMs: 3000,
  });
  const source = new ScriptedSource(responses);
  const polledPeers: string[] = [];
  const follower = new SourceFollower({
    clock,
    random: new SeededRandom(1),
    source,
    state,
    logger: silentLogger,
    peerAddresses: () => ['10.0.0.2:1', '10.0.0.3:1', '10.0.0.4:1'],
    hasLowBandwidthLink,
    readers: {freshForMs: 0, isReader: false},
    fetchFeed: address => {
      polledPeers.push(address);
      return Promise.resolve({
        workers: [],
        revision: 0 as SourceRevision,
        ...peerState,
        sequence: 1,
        isWhole: true,
        lacksVersion: false,
        isEstablished: true,
        run: 'a',
        isReader: false,
        readers: [],
        contactAgeMs: 0,
      });
    },
  });
  void follower.run();
  await clock.advanceAsync(durationMs);
  const {isCurrent} = follower;
  follower.close();
  return {state, source, polledPeers, isCurrent};
}

describe('SourceFollower', () => {
  it('reads once, then watches from the revision that it has', async () => {
    const {state, source} = await runFollower(
      [respondWith(4, 1), respondWith(6, 2)],
      1000,
    );
    expect(state.config?.version).to.equal(2);
    expect(source.reads).to.equal(1);
    expect(source.watches).to.deep.equal([4, 6]);
  });

  it('guards against one call per change in a burst of changes', async () => {
    const responses = [
      respondWith(1, 1),
      ...Array.from({length: 30}, (_, n) => respondWith(n + 2, n + 2)),
    ];
    const {source} = await runFollower(responses, 1000);
    expect(source.watches.length).to.be.below(5);
  });

  it('reads everything when the source no longer has the history', async () => {
    const historyLost: ScriptedResponse = () => Promise.resolve(undefined);
    const {state, source} = await runFollower(
      [respondWith(4, 1), historyLost, respondWith(9, 5)],
      1000,
    );
    expect(source.reads).to.equal(2);
    expect(state.config?.version).to.equal(5);
  });

  it('guards against a low-bandwidth link that has to transfer every version of a burst', async () => {
    const burst: ScriptedResponse = () =>
      Promise.resolve({...createChanges(9, 9), configVersionCount: 3});
    const reads = Array.from({length: 9}, (_, n) =>
      respondWith(10 + n, 10 + n),
    );
    const {state, source} = await runFollower(
      [respondWith(4, 1), burst, ...reads],
      2000,
      undefined,
      true,
    );
    expect(source.watches).to.deep.equal([4]);
    expect(source.reads).to.be.above(4);
    expect(state.config?.version).to.be.above(12);
  });

  it('retries a failed read', async () => {
    const {state} = await runFollower(
      [failure, failure, respondWith(4, 1)],
      1000,
    );
    expect(state.config?.version).to.equal(1);
  });

  it('guards against a stale version while the source rejects the calls of this relay', async () => {
    const peerState = createChanges(8, 3) as MeshSnapshot;
    const failures = Array.from({length: 50}, () => failure);
    const {state, polledPeers} = await runFollower(
      [respondWith(4, 1), ...failures],
      1500,
      peerState,
    );
    expect(state.config?.version).to.equal(3);
    expect(new Set(polledPeers).size).to.be.above(1);
  });

  it('guards against taking the state of a peer for the newest before the source has responded', async () => {
    const peerState = createChanges(8, 3) as MeshSnapshot;
    const noResponse: ScriptedResponse = () => new Promise(() => {});
    for (const [responses, isCurrent] of [
      [[noResponse], false],
      [[respondWith(9, 4)], true],
    ] as const) {
      const result = await runFollower([...responses], 1500, peerState, true);
      expect(result.state.config?.version).to.equal(isCurrent ? 4 : 3);
      expect(result.isCurrent).to.equal(isCurrent);
    }
  });

  it('polls no peer while the source responds', async () => {
    const {polledPeers} = await runFollower(
      [respondWith(4, 1), respondWith(5, 2)],
      3000,
    );
    expect(polledPeers).to.deep.equal([]);
  });

  it('guards against dropping the state of a source that was restored from a copy', async () => {
    const historyLost: ScriptedResponse = () => Promise.resolve(undefined);
    const restored = toSourceRevision(2, 9);
    const {state, source} = await runFollower(
      [
        respondWith(toSourceRevision(1, 17), 11),
        historyLost,
        respondWith(restored, 14),
      ],
      1000,
    );
    expect(state.config?.version).to.equal(14);
    expect(source.watches.at(-1)).to.equal(restored);
  });

  it('guards against reading a source in a loop that lacks the history again and again', async () => {
    const responses = Array.from({length: 200}, (_, n) =>
      n % 2 === 0 ? respondWith(4, 1) : () => Promise.resolve(undefined),
    );
    const {source} = await runFollower(responses, 2000);
    expect(source.reads).to.be.below(10);
  });
});
