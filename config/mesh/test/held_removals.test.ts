import {
  MeshState,
  type MeshUpdate,
  type MeshWorker,
  type SourceRevision,
  type WorkerId,
} from '@carobseam/config.mesh';
import {ManualClock} from '@carobseam/core.clock';
import type {DataCentreName, ServiceName} from '@carobseam/core.types';
import {expect} from 'chai';
import {
  createPut,
  createRemoval,
  createWorker,
  endOutage,
  stateOptions,
} from './mesh_fixtures.js';

const OUTAGE_MS = 5000;
const LOCAL = createWorker({id: 'i-local' as WorkerId});
const REMOTE = createWorker({
  id: 'i-remote' as WorkerId,
  address: '10.0.0.2:8000',
  dataCentre: 'linz' as DataCentreName,
});

/** Returns a state with two workers, and functions that change it. */
function createState(contactMs = stateOptions.contactMs) {
  const clock = new ManualClock();
  const state = new MeshState({clock, ...stateOptions, contactMs});
  const put = (revision: number, ...workers: MeshWorker[]) =>
    state.applyChanges({
      revision: revision as SourceRevision,
      workers: workers.map(worker => createPut(worker, revision)),
    });
  const remove = (revision: number, worker: MeshWorker) =>
    state.applyChanges({
      revision: revision as SourceRevision,
      workers: [createRemoval(worker.id, revision)],
    });
  const ids = () =>
    state.workersOf('desk' as ServiceName).map(worker => worker.id);
  put(2, LOCAL, REMOTE);
  clock.advance(10_000);
  return {clock, state, put, remove, ids};
}

/** Returns the full state of a peer that has no worker. */
function createEmptyUpdate(change: Partial<MeshUpdate> = {}): MeshUpdate {
  return {
    sequence: 9,
    revision: 9 as SourceRevision,
    lacksVersion: false,
    workers: [],
    isWhole: true,
    isEstablished: true,
    ...change,
  };
}

describe('removals after an outage of the source', () => {
  it('guards against keeping a worker for longer because the return was noticed late', () => {
    for (const contactMs of [3000, 4000]) {
      const {clock, state, remove, ids} = createState(contactMs);
      state.recordSourceFailure(clock.monotonicMs());
      clock.advance(OUTAGE_MS);
      state.recordSourceFailure(clock.monotonicMs());
      clock.advance(contactMs - 1000);
      state.endSourceOutage();
      remove(5, LOCAL);
      expect(ids()).to.have.members([LOCAL.id, REMOTE.id]);
      clock.advance(1000);
      expect(ids()).to.deep.equal([REMOTE.id]);
    }
  });

  it('guards against a hold that begins only when a change arrives', () => {
    const {clock, state, remove, ids} = createState();
    state.recordSourceFailure(clock.monotonicMs() - OUTAGE_MS);
    state.recordSourceFailure(clock.monotonicMs());
    state.recordSourceResponse();
    clock.advance(1000);
    state.endSourceOutage();
    remove(5, LOCAL);
    clock.advance(1200);
    expect(ids()).to.deep.equal([REMOTE.id]);
  });

  it('guards against dropping a worker after an outage that a single silent call covers', () => {
    const {clock, state, remove, ids} = createState();
    clock.advance(OUTAGE_MS);
    state.recordSourceFailure(clock.monotonicMs() - 1600);
    clock.advance(60);
    state.endSourceOutage();
    remove(5, LOCAL);
    expect(ids()).to.have.members([LOCAL.id, REMOTE.id]);
  });

  it('guards against holding removals back after a failure of a moment', () => {
    const {clock, state, remove, ids} = createState();
    state.recordSourceFailure(clock.monotonicMs());
    clock.advance(60);
    state.endSourceOutage();
    remove(5, LOCAL);
    expect(ids()).to.deep.equal([REMOTE.id]);
  });

  it('guards against holding back the removal of a worker that has said that it leaves', () => {
    const {clock, state, put, remove, ids} = createState();
    put(4, {...LOCAL, isLeaving: true});
    endOutage(state, clock);
    remove(5, LOCAL);
    expect(ids()).to.deep.equal([REMOTE.id]);
  });

  it('guards against a peer outside of a cut that says that the workers behind it are gone', () => {
    const {clock, state, put, ids} = createState();
    state.recordSourceFailure(clock.monotonicMs());
    clock.advance(OUTAGE_MS);
    state.applyUpdate(createEmptyUpdate());
    expect(ids()).to.deep.equal([LOCAL.id]);
    state.endSourceOutage();
    clock.advance(1900);
    put(10, LOCAL);
    clock.advance(3000);
    expect(ids()).to.deep.equal([LOCAL.id]);
  });

  it('guards against a peer that has started after the entries expired', () => {
    const {clock, state, ids} = createState();
    state.recordSourceFailure(clock.monotonicMs());
    clock.advance(OUTAGE_MS);
    state.applyUpdate(createEmptyUpdate({isEstablished: false}));
    expect(ids()).to.have.members([LOCAL.id, REMOTE.id]);
    state.endSourceOutage();
    clock.advance(2200);
    expect(ids()).to.deep.equal([]);
  });

  it('guards against holding back what a peer says while the source responds', () => {
    const {state, ids} = createState();
    state.applyUpdate(createEmptyUpdate({isEstablished: false}));
    expect(ids()).to.deep.equal([]);
  });

  it('guards against a peer that never hears of a removal which a full read showed', () => {
    const {clock, state} = createState();
    endOutage(state, clock);
    state.applySnapshot({
      revision: 8 as SourceRevision,
      workers: [createPut(REMOTE, 2)],
    });
    const update = state.updateSince(undefined, 0, true);
    expect(update.workers.map(({id}) => id)).to.include(LOCAL.id);
    expect(update.revision, 'the removal came after it').to.equal(2);
  });
});
