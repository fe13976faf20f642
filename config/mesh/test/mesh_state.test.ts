import {
  MeshState,
  type MeshChanges,
  type MeshStateChange,
  type MeshUpdate,
  type RouteName,
  type SourceRevision,
  type WorkerId,
} from '@carobseam/config.mesh';
import {ManualClock} from '@carobseam/core.clock';
import type {ServiceName} from '@carobseam/core.types';
import {expect} from 'chai';
import {
  createConfig,
  createPut,
  createRemoval,
  createRoute,
  createWorker,
} from './mesh_fixtures.js';

const DESK = 'desk' as ServiceName;

function createState() {
  const clock = new ManualClock();
  const changes: MeshStateChange[] = [];
  const state = new MeshState({
    clock,
    removalGraceMs: 2200,
    onChange: change => changes.push(change),
  });
  const apply = (
    revision: number,
    ...workers: ReturnType<typeof createPut>[]
  ) => state.applyChanges({revision: revision as SourceRevision, workers});
  const ids = () => state.workersOf(DESK).map(worker => worker.id);
  return {clock, state, changes, apply, ids};
}

const overWire = (update: MeshUpdate) =>
  JSON.parse(JSON.stringify(update)) as MeshUpdate;

describe('MeshState', () => {
  it('guards against a return to an older version', () => {
    const {state} = createState();
    state.applyChanges({
      revision: 5 as SourceRevision,
      config: createConfig(7),
      workers: [],
    });
    state.applyChanges({
      revision: 6 as SourceRevision,
      config: createConfig(6),
      workers: [],
    });
    expect(state.config?.version).to.equal(7);
  });

  it('tells changes at the revision that brought them', () => {
    const clock = new ManualClock();
    const told: number[] = [];
    const state: MeshState = new MeshState({
      clock,
      removalGraceMs: 2200,
      onChange: () => told.push(state.revision),
    });
    state.applyChanges({
      revision: 5 as SourceRevision,
      config: createConfig(7),
      workers: [createPut(createWorker(), 4)],
    });
    expect(told).to.deep.equal([5, 5]);
  });

  it('indexes its workers again only when a reading changed something', () => {
    let applied = 0;
    const state = new MeshState({
      clock: new ManualClock(),
      removalGraceMs: 2200,
      onApplied: () => applied++,
    });
    const revisionOf = (revision: number) => revision as SourceRevision;
    const put = createPut(createWorker(), 1);
    state.applySnapshot({revision: revisionOf(1), workers: [put]});
    state.applyChanges({revision: revisionOf(2), workers: []});
    expect(applied).to.equal(1);
    state.applySnapshot({revision: revisionOf(3), workers: []});
    expect(applied, 'a reading that only lacks an entry').to.equal(2);
    expect(state.workersOf(DESK)).to.deep.equal([]);
  });

  it('guards against an entry that a stale reading brings back', () => {
    const {state, apply, ids} = createState();
    apply(1, createPut(createWorker(), 1));
    apply(3, createRemoval('i-1' as WorkerId, 3));
    state.applySnapshot({
      revision: 2 as SourceRevision,
      workers: [createPut(createWorker(), 1)],
    });
    apply(4, createPut(createWorker(), 2));
    expect(ids()).to.deep.equal([]);
  });

  it('removes entries that a full reading lacks', () => {
    const {state, apply, ids} = createState();
    apply(1, createPut(createWorker(), 1));
    state.applySnapshot({revision: 4 as SourceRevision, workers: []});
    expect(ids()).to.deep.equal([]);
  });

  it('guards against requests to a worker that crashed: the newest one at an address counts', () => {
    const {state, apply, ids} = createState();
    const old = createWorker({id: 'i-old' as WorkerId, bornMs: 100});
    const young = createWorker({id: 'i-young' as WorkerId, bornMs: 900});
    apply(2, createPut(young, 1), createPut(old, 2));
    expect(ids()).to.deep.equal(['i-young']);
    expect(state.workerAt(old.address)?.id).to.equal('i-young');
    expect(state.isGone('i-old' as WorkerId)).to.equal(true);
    expect(state.isGone('i-never-seen' as WorkerId)).to.equal(false);
  });

  it('keeps workers whose entries lapsed while the source was away', () => {
    const {clock, state, apply, ids} = createState();
    apply(1, createPut(createWorker(), 1));
    state.startRemovalGracePeriod();
    apply(2, createRemoval('i-1' as WorkerId, 2));
    expect(ids()).to.deep.equal(['i-1']);
    apply(3, createPut(createWorker(), 3));
    clock.advance(3000);
    expect(ids()).to.deep.equal(['i-1']);
  });

  it('takes a worker as gone that is not back after the grace time', () => {
    const {clock, state, apply, ids} = createState();
    apply(1, createPut(createWorker(), 1));
    state.startRemovalGracePeriod();
    apply(2, createRemoval('i-1' as WorkerId, 2));
    clock.advance(2200);
    expect(ids()).to.deep.equal([]);
  });

  it('forgets a removed worker after a while', () => {
    const {clock, apply, state} = createState();
    apply(1, createPut(createWorker(), 1));
    apply(2, createRemoval('i-1' as WorkerId, 2));
    expect(state.isGone('i-1' as WorkerId)).to.equal(true);
    clock.advance(61_000);
    apply(3);
    expect(state.isGone('i-1' as WorkerId)).to.equal(false);
  });

  it('gives its state in a form that another one takes whole', () => {
    const {state, apply} = createState();
    apply(9, createPut(createWorker(), 8));
    const other = createState();
    other.state.applyUpdate(overWire(state.updateSince(undefined, 0, true)));
    expect(other.ids()).to.deep.equal(['i-1']);
    expect(other.state.revision).to.equal(9);
  });

  describe('updates between peers', () => {
    const configOf = (version: number, ...prefixes: string[]) =>
      createConfig(
        version,
        prefixes.map(prefix =>
          createRoute({
            name: `r${prefix}` as RouteName,
            pathPrefix: `/${prefix}/`,
          }),
        ),
      );

    /** A state and a peer that follows it. */
    function createPair() {
      const [ahead, behind] = [createState(), createState()];
      let sequence: number | undefined;
      const put = (revision: number, changes: Partial<MeshChanges>) =>
        ahead.state.applyChanges({
          revision: revision as SourceRevision,
          workers: [],
          ...changes,
        });
      const sync = (acceptsWhole = true) => {
        const version = behind.state.config?.version ?? 0;
        const update = overWire(
          ahead.state.updateSince(sequence, version, acceptsWhole),
        );
        sequence = update.sequence;
        return {update, isFitting: behind.state.applyUpdate(update)};
      };
      return {ahead, behind, put, sync};
    }

    it('carries only the routes that changed', () => {
      const {behind, put, sync} = createPair();
      put(1, {config: configOf(1, 'a', 'b', 'c')});
      expect(sync().update.config?.routes).to.have.length(3);
      put(2, {config: configOf(2, 'a', 'c', 'd')});
      const {update} = sync();
      expect(update.config).to.equal(undefined);
      expect(update.configDelta?.changedRoutes).to.have.length(1);
      expect(update.configDelta?.removedRoutes).to.deep.equal(['rb']);
      expect(behind.state.config).to.deep.equal(configOf(2, 'a', 'c', 'd'));
      const found = (path: string) =>
        behind.state.routes?.find('hints.example', path)?.name;
      expect([found('/b/1'), found('/d/1')]).to.deep.equal([undefined, 'rd']);
    });

    it('carries the configuration whole to a peer that is far behind', () => {
      const {put, sync} = createPair();
      put(1, {config: configOf(1, 'a')});
      sync();
      for (let version = 2; version < 19; version++) {
        put(version, {config: configOf(version, 'a', `v${version}`)});
      }
      const {update, isFitting} = sync();
      expect(update.config?.version).to.equal(18);
      expect(isFitting).to.equal(true);
    });

    it('guards against whole configurations over thin links', () => {
      const {behind, put, sync} = createPair();
      put(1, {config: configOf(1, 'a')});
      sync();
      for (let version = 2; version < 19; version++) {
        put(version, {config: configOf(version, 'a', `v${version}`)});
      }
      const {update} = sync(false);
      expect(update.lacksVersion).to.equal(true);
      expect(update.config).to.equal(undefined);
      expect(behind.state.config?.version).to.equal(1);
    });

    it('carries changes to a peer whose version came between two readings', () => {
      const {ahead, behind, put} = createPair();
      put(3, {
        config: configOf(3, 'a', 'c'),
        intermediateConfigs: [configOf(2, 'a')],
      });
      behind.state.applyChanges({
        revision: 2 as SourceRevision,
        config: configOf(2, 'a'),
        workers: [],
      });
      const update = overWire(ahead.state.updateSince(undefined, 2, false));
      expect(update.configDelta?.changedRoutes).to.have.length(1);
      expect(behind.state.applyUpdate(update)).to.equal(true);
      expect(behind.state.config?.version).to.equal(3);
    });

    it('guards against a delta on another version than its own', () => {
      const {ahead, behind, put} = createPair();
      put(1, {config: configOf(1, 'a')});
      put(3, {config: configOf(3, 'a', 'b')});
      behind.state.applyChanges({
        revision: 2 as SourceRevision,
        config: configOf(2, 'a', 'x'),
        workers: [],
      });
      const update = overWire(ahead.state.updateSince(0, 1, true));
      expect(behind.state.applyUpdate(update)).to.equal(false);
      expect(behind.state.config?.version).to.equal(2);
      expect(behind.state.revision, 'to be read again').to.equal(2);
    });

    it('guards against a delta that leaves routes out', () => {
      const {ahead, behind, put} = createPair();
      put(1, {config: configOf(1, 'a')});
      put(2, {config: configOf(2, 'a', 'b')});
      const update = overWire(ahead.state.updateSince(0, 1, true));
      behind.state.applyChanges({
        revision: 1 as SourceRevision,
        config: configOf(1, 'other', 'x'),
        workers: [],
      });
      expect(behind.state.applyUpdate(update)).to.equal(false);
      expect(behind.state.config?.version).to.equal(1);
    });

    it('carries removals to a peer that follows', () => {
      const {behind, put, sync} = createPair();
      put(1, {workers: [createPut(createWorker(), 1)]});
      sync();
      expect(behind.ids()).to.deep.equal(['i-1']);
      put(2, {workers: [createRemoval('i-1' as WorkerId, 2)]});
      expect(sync().update.workers).to.have.length(1);
      expect(behind.ids()).to.deep.equal([]);
    });

    it('guards against a removal that is held here and missed there', () => {
      const {ahead, behind, put, sync} = createPair();
      put(1, {workers: [createPut(createWorker(), 1)]});
      sync();
      ahead.state.startRemovalGracePeriod();
      put(5, {workers: [createRemoval('i-1' as WorkerId, 4)]});
      sync();
      expect(behind.state.revision, 'below the held removal').to.equal(3);
      ahead.clock.advance(2500);
      sync();
      expect(behind.ids()).to.deep.equal([]);
      expect(behind.state.revision).to.equal(5);
    });
  });
});
