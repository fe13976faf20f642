import {
  eraOf,
  MeshState,
  revisionNumberOf,
  toSourceRevision,
  type MeshConfig,
  type MeshStateChange,
  type MeshWorker,
  type WorkerChange,
  type WorkerId,
} from '@carobseam/config.mesh';
import {ManualClock} from '@carobseam/core.clock';
import type {ServiceName} from '@carobseam/core.types';
import {expect} from 'chai';
import {
  createConfig,
  createPut,
  createRemoval,
  createWorker,
  endOutage,
  stateOptions,
} from './mesh_fixtures.js';

const GRACE_MS = 2200;
const DESK = 'desk' as ServiceName;

interface Contents {
  config?: MeshConfig;
  workers?: MeshWorker[];
  removed?: WorkerId[];
}

const toChanges = (era: number, revisionNumber: number, contents: Contents) => {
  const revision = toSourceRevision(era, revisionNumber);
  const {config, workers = [], removed = []} = contents;
  const changes: WorkerChange[] = [
    ...workers.map(worker => createPut(worker, revision)),
    ...removed.map(id => createRemoval(id, revision)),
  ];
  return {revision, config, workers: changes};
};

/** Creates a state that was read in era 1, and what follows it. */
function createState(contents: Contents) {
  const clock = new ManualClock();
  const changes: MeshStateChange[] = [];
  const state = new MeshState({
    clock,
    ...stateOptions,
    onChange: change => changes.push(change),
  });
  state.applySnapshot(toChanges(1, 20, contents));
  const read = (era: number, revisionNumber: number, next: Contents) =>
    state.applySnapshot(toChanges(era, revisionNumber, next));
  const watch = (era: number, revisionNumber: number, next: Contents) =>
    state.applyChanges(toChanges(era, revisionNumber, next));
  const ids = () => state.workersOf(DESK).map(({id}) => id);
  const kinds = () => changes.map(({kind}) => kind);
  return {clock, state, read, watch, ids, kinds};
}

const W1 = createWorker({id: 'i-1' as WorkerId, bornMs: 5, reportNumber: 3});
const W2 = createWorker({
  id: 'i-2' as WorkerId,
  address: '10.0.0.2:8000',
  bornMs: 6,
  reportNumber: 1,
});

describe('SourceRevision', () => {
  it('guards against comparing revisions without their era', () => {
    const old = toSourceRevision(1, 900);
    const restored = toSourceRevision(2, 17);
    expect(restored).to.be.above(old);
    expect(eraOf(restored)).to.equal(2);
    expect(revisionNumberOf(restored)).to.equal(17);
    expect(revisionNumberOf(toSourceRevision(9000, 123_456_789))).to.equal(
      123_456_789,
    );
  });
});

describe('MeshState, restored source', () => {
  it('guards against dropping what a restored source contains', () => {
    const {state, read, kinds} = createState({config: createConfig(11)});
    read(2, 9, {config: createConfig(11)});
    read(2, 10, {config: createConfig(14)});
    expect(state.revision).to.equal(toSourceRevision(2, 10));
    expect(state.config?.version).to.equal(14);
    expect(kinds()).to.include('sourceRestored');
  });

  it('guards against a return to the older version of the copy', () => {
    const {state, read} = createState({config: createConfig(11)});
    read(2, 9, {config: createConfig(8)});
    expect(state.config?.version).to.equal(11);
  });

  it('guards against dropping workers that the copy lacks before they have registered again', () => {
    const {clock, read, watch, ids} = createState({workers: [W1, W2]});
    read(2, 9, {workers: [W1]});
    expect(ids()).to.have.members([W1.id, W2.id]);
    clock.advance(GRACE_MS - 100);
    watch(2, 11, {workers: [{...W2, reportNumber: 4}]});
    clock.advance(200);
    expect(ids()).to.have.members([W1.id, W2.id]);
  });

  it('guards against keeping a worker that does not register again', () => {
    const {clock, read, ids} = createState({workers: [W1, W2]});
    read(2, 9, {workers: [W1]});
    clock.advance(GRACE_MS + 100);
    expect(ids()).to.deep.equal([W1.id]);
  });

  it('guards against a leaving worker that the copy shows as ready', () => {
    const leaving = {...W1, isLeaving: true, reportNumber: 9};
    const {state, read, watch, kinds} = createState({workers: [leaving]});
    read(2, 9, {workers: [W1]});
    expect(state.workersOf(DESK)[0]!.isLeaving).to.equal(true);
    expect(kinds()).to.include('restoredEntryIgnored');
    watch(2, 10, {workers: [{...leaving, reportNumber: 10, slots: 3}]});
    expect(state.workersOf(DESK)[0]!.slots).to.equal(3);
  });

  it('guards against a worker that has left and that the copy still has', () => {
    const {read, watch, ids} = createState({workers: [W1, W2]});
    watch(1, 21, {removed: [W2.id]});
    read(2, 9, {workers: [W1, W2]});
    expect(ids()).to.deep.equal([W1.id]);
    watch(2, 10, {workers: [{...W2, reportNumber: 2}]});
    expect(ids()).to.have.members([W1.id, W2.id]);
  });

  it('guards against a removal that is still held back and that the copy undoes', () => {
    const {clock, state, read, watch, ids} = createState({workers: [W1, W2]});
    endOutage(state, clock);
    watch(1, 21, {removed: [W2.id]});
    read(2, 9, {workers: [W1, W2]});
    clock.advance(GRACE_MS + 100);
    expect(ids()).to.deep.equal([W1.id]);
  });

  it('guards against ignoring a later start of a worker with the same id', () => {
    const {state, read} = createState({workers: [W1]});
    read(2, 9, {workers: [{...W1, bornMs: 7, reportNumber: 1}]});
    expect(state.workersOf(DESK)[0]!.bornMs).to.equal(7);
  });

  it('guards against changes of the old history from a peer that has not seen the restore', () => {
    const {state, read, watch, ids} = createState({workers: [W1]});
    read(2, 9, {workers: [W1], config: createConfig(11)});
    watch(1, 400, {removed: [W1.id]});
    expect(ids()).to.deep.equal([W1.id]);
    read(1, 500, {workers: []});
    expect(ids()).to.deep.equal([W1.id]);
    expect(state.revision).to.equal(toSourceRevision(2, 9));
  });

  it('guards against two restores in a row', () => {
    const {state, read, watch, ids} = createState({
      config: createConfig(11),
      workers: [W1],
    });
    read(2, 9, {workers: [W1]});
    read(3, 5, {workers: [W1], config: createConfig(4)});
    watch(3, 6, {config: createConfig(12)});
    expect(state.config?.version).to.equal(12);
    expect(ids()).to.deep.equal([W1.id]);
  });

  it('guards against a follower that keeps to the older history', () => {
    const reader = createState({config: createConfig(11), workers: [W1, W2]});
    const follower = createState({config: createConfig(11), workers: [W1, W2]});
    reader.read(2, 9, {workers: [W1]});
    reader.watch(2, 10, {config: createConfig(12)});
    const update = reader.state.updateSince(undefined, 11, true);
    follower.state.applyUpdate(JSON.parse(JSON.stringify(update)));
    expect(follower.state.config?.version).to.equal(12);
    expect(eraOf(follower.state.revision)).to.equal(2);
    expect(follower.ids()).to.have.members([W1.id, W2.id]);
  });
});
