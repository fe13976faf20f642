import {
  MeshState,
  type MeshChanges,
  type MeshSnapshot,
  type MeshSource,
  type SourceRevision,
} from '@carobseam/config.mesh';
import {ManualClock, SeededRandom} from '@carobseam/core.clock';
import {silentLogger} from '@carobseam/core.logger';
import type {ConfigVersion} from '@carobseam/core.types';
import {SourceFollower} from '@carobseam/fleet.follower';
import {expect} from 'chai';

type Step = () => Promise<MeshChanges | undefined>;

/** A source whose answers a test sets one by one. */
class ScriptedSource implements MeshSource {
  reads = 0;
  watches: number[] = [];
  #steps: Step[];

  constructor(steps: Step[]) {
    this.#steps = steps;
  }

  async read(): Promise<MeshSnapshot> {
    this.reads++;
    return (await this.#next()) as MeshSnapshot;
  }

  watch(after: SourceRevision): Promise<MeshChanges | undefined> {
    this.watches.push(after);
    return this.#next();
  }

  close(): void {}

  #next(): Promise<MeshChanges | undefined> {
    return this.#steps.shift()?.() ?? new Promise(() => {});
  }
}

function changesOf(revision: number, version: number): MeshChanges {
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

const fail: Step = () => Promise.reject(new Error('store is away'));
const give =
  (revision: number, version: number): Step =>
  () =>
    Promise.resolve(changesOf(revision, version));

async function follow(
  steps: Step[],
  durationMs: number,
  peerState?: MeshSnapshot,
  isLinkThin = false,
) {
  const clock = new ManualClock();
  const state = new MeshState({clock, removalGraceMs: 2200});
  const source = new ScriptedSource(steps);
  const asked: string[] = [];
  const follower = new SourceFollower({
    clock,
    random: new SeededRandom(1),
    source,
    state,
    logger: silentLogger,
    peerAddresses: () => ['10.0.0.2:1', '10.0.0.3:1', '10.0.0.4:1'],
    hasLowBandwidthLink: isLinkThin,
    readers: {freshForMs: 0, isReader: false},
    fetchFeed: address => {
      asked.push(address);
      return Promise.resolve({
        workers: [],
        revision: 0 as SourceRevision,
        ...peerState,
        sequence: 1,
        isWhole: true,
        lacksVersion: false,
        run: 'a',
        isReader: false,
        readers: [],
        contactAgeMs: 0,
      });
    },
  });
  void follower.run();
  await clock.advanceAsync(durationMs);
  follower.close();
  return {state, source, asked};
}

describe('SourceFollower', () => {
  it('reads once, then watches from the revision that it has', async () => {
    const {state, source} = await follow([give(4, 1), give(6, 2)], 1000);
    expect(state.config?.version).to.equal(2);
    expect(source.reads).to.equal(1);
    expect(source.watches).to.deep.equal([4, 6]);
  });

  it('gathers the changes of a storm into few calls', async () => {
    const steps = [
      give(1, 1),
      ...Array.from({length: 30}, (_, n) => give(n + 2, n + 2)),
    ];
    const {source} = await follow(steps, 1000);
    expect(source.watches.length).to.be.below(5);
  });

  it('reads everything when the source lost its history', async () => {
    const lost: Step = () => Promise.resolve(undefined);
    const {state, source} = await follow([give(4, 1), lost, give(9, 5)], 1000);
    expect(source.reads).to.equal(2);
    expect(state.config?.version).to.equal(5);
  });

  it('guards against a thin link that carries every version of a storm', async () => {
    const storm: Step = () =>
      Promise.resolve({...changesOf(9, 9), configVersionCount: 3});
    const reads = Array.from({length: 9}, (_, n) => give(10 + n, 10 + n));
    const {state, source} = await follow(
      [give(4, 1), storm, ...reads],
      2000,
      undefined,
      true,
    );
    expect(source.watches).to.deep.equal([4]);
    expect(source.reads).to.be.above(4);
    expect(state.config?.version).to.be.above(12);
  });

  it('tries again when a read fails', async () => {
    const {state} = await follow([fail, fail, give(4, 1)], 1000);
    expect(state.config?.version).to.equal(1);
  });

  it('guards against an old version while the store turns this relay away', async () => {
    const peerState = changesOf(8, 3) as MeshSnapshot;
    const failing = Array.from({length: 50}, () => fail);
    const {state, asked} = await follow(
      [give(4, 1), ...failing],
      1500,
      peerState,
    );
    expect(state.config?.version).to.equal(3);
    expect(new Set(asked).size).to.be.above(1);
  });

  it('asks no peer while the source answers', async () => {
    const {asked} = await follow([give(4, 1), give(5, 2)], 3000);
    expect(asked).to.deep.equal([]);
  });
});
