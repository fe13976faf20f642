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
  endOutage,
  stateOptions,
} from './mesh_fixtures.js';

const DESK = 'desk' as ServiceName;

function createState() {
  const clock = new ManualClock();
  const changes: MeshStateChange[] = [];
  const state = new MeshState({
    clock,
    ...stateOptions,
    onChange: change => changes.push(change),
  });
  const apply = (
    revision: number,
    ...workers: ReturnType<typeof createPut>[]
  ) => state.applyChanges({revision: revision as SourceRevision, workers});
  const ids = () => state.workersOf(DESK).map(worker => worker.id);
  return {clock, state, changes, apply, ids};
}

const serializeAndParse = (update: MeshUpdate) =>
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

  it('guards against a change that is reported with the previous revision', () => {
    const clock = new ManualClock();
    const reportedRevisions: number[] = [];
    const state: MeshState = new MeshState({
      clock,
      ...stateOptions,
      onChange: () => reportedRevisions.push(state.revision),
    });
    state.applyChanges({
      revision: 5 as SourceRevision,
      config: createConfig(7),
      workers: [createPut(createWorker(), 4)],
    });
    expect(reportedRevisions).to.deep.equal([5, 5]);
  });

  it('indexes the workers again only when something changed', () => {
    let appliedCount = 0;
    const state = new MeshState({
      clock: new ManualClock(),
      ...stateOptions,
      onApplied: () => appliedCount++,
    });
    const revisionOf = (revision: number) => revision as SourceRevision;
    const put = createPut(createWorker(), 1);
    state.applySnapshot({revision: revisionOf(1), workers: [put]});
    state.applyChanges({revision: revisionOf(2), workers: []});
    expect(appliedCount).to.equal(1);
    state.applySnapshot({revision: revisionOf(3), workers: []});
    expect(appliedCount, 'a full read that only lacks an entry').to.equal(2);
    expect(state.workersOf(DESK)).to.deep.equal([]);
  });

  it('guards against a removed entry that a stale read restores', () => {
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

  it('removes entries that a full read lacks', () => {
    const {state, apply, ids} = createState();
    apply(1, createPut(createWorker(), 1));
    state.applySnapshot({revision: 4 as SourceRevision, workers: []});
    expect(ids()).to.deep.equal([]);
  });

  it('guards against requests to a crashed worker: only the newest worker with an address is used', () => {
    const {state, apply, ids} = createState();
    const crashed = createWorker({id: 'i-old' as WorkerId, bornMs: 100});
    const successor = createWorker({id: 'i-young' as WorkerId, bornMs: 900});
    apply(2, createPut(successor, 1), createPut(crashed, 2));
    expect(ids()).to.deep.equal(['i-young']);
    expect(state.workerAt(crashed.address)?.id).to.equal('i-young');
    expect(state.isGone('i-old' as WorkerId)).to.equal(true);
    expect(state.isGone('i-never-seen' as WorkerId)).to.equal(false);
  });

  it('guards against a worker that an entry of an unknown service at its address replaces', () => {
    const {state} = createState();
    const worker = createWorker({bornMs: 100});
    const odd = createWorker({
      id: 'i-odd' as WorkerId,
      service: 'nobody' as ServiceName,
      bornMs: 900,
    });
    const workers = [createPut(worker, 1), createPut(odd, 2)];
    state.applyChanges({revision: 2 as SourceRevision, workers});
    expect(state.isGone(worker.id)).to.equal(true);
    const config = createConfig(1);
    state.applyChanges({revision: 3 as SourceRevision, config, workers: []});
    expect(state.isGone(worker.id)).to.equal(false);
    expect(state.isGone(odd.id)).to.equal(true);
    expect(state.workerAt(worker.address)?.id).to.equal(worker.id);
    expect(state.workersOf(worker.service)).to.deep.equal([worker]);
  });

  it('keeps workers whose entries expired while the source was unavailable', () => {
    const {clock, state, apply, ids} = createState();
    apply(1, createPut(createWorker(), 1));
    endOutage(state, clock);
    apply(2, createRemoval('i-1' as WorkerId, 2));
    expect(ids()).to.deep.equal(['i-1']);
    apply(3, createPut(createWorker(), 3));
    clock.advance(3000);
    expect(ids()).to.deep.equal(['i-1']);
  });

  it('removes a worker whose entry is not back after the grace period', () => {
    const {clock, state, apply, ids} = createState();
    apply(1, createPut(createWorker(), 1));
    endOutage(state, clock);
    apply(2, createRemoval('i-1' as WorkerId, 2));
    clock.advance(2200);
    expect(ids()).to.deep.equal([]);
  });

  it('drops the record of a removed worker after a minute', () => {
    const {clock, apply, state} = createState();
    apply(1, createPut(createWorker(), 1));
    apply(2, createRemoval('i-1' as WorkerId, 2));
    expect(state.isGone('i-1' as WorkerId)).to.equal(true);
    clock.advance(61_000);
    apply(3);
    expect(state.isGone('i-1' as WorkerId)).to.equal(false);
  });

  it('applies the full state of a peer', () => {
    const {state, apply} = createState();
    apply(9, createPut(createWorker(), 8));
    const other = createState();
    other.state.applyUpdate(
      serializeAndParse(state.updateSince(undefined, 0, true)),
    );
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

    /** Returns a state and that of a peer which follows it. */
    function createPair() {
      const [sender, receiver] = [createState(), createState()];
      let sequence: number | undefined;
      const put = (revision: number, changes: Partial<MeshChanges>) =>
        sender.state.applyChanges({
          revision: revision as SourceRevision,
          workers: [],
          ...changes,
        });
      const sync = (acceptsWhole = true) => {
        const version = receiver.state.config?.version ?? 0;
        const update = serializeAndParse(
          sender.state.updateSince(sequence, version, acceptsWhole),
        );
        sequence = update.sequence;
        return {update, isApplied: receiver.state.applyUpdate(update)};
      };
      return {sender, receiver, put, sync};
    }

    it('sends only the routes that changed', () => {
      const {receiver, put, sync} = createPair();
      put(1, {config: configOf(1, 'a', 'b', 'c')});
      expect(sync().update.config?.routes).to.have.length(3);
      put(2, {config: configOf(2, 'a', 'c', 'd')});
      const {update} = sync();
      expect(update.config).to.equal(undefined);
      expect(update.configDelta?.changedRoutes).to.have.length(1);
      expect(update.configDelta?.removedRoutes).to.deep.equal(['rb']);
      expect(receiver.state.config).to.deep.equal(configOf(2, 'a', 'c', 'd'));
      const found = (path: string) =>
        receiver.state.routes?.find('hints.example', path)?.name;
      expect([found('/b/1'), found('/d/1')]).to.deep.equal([undefined, 'rd']);
    });

    it('sends the full configuration to a peer that is far behind', () => {
      const {put, sync} = createPair();
      put(1, {config: configOf(1, 'a')});
      sync();
      for (let version = 2; version < 19; version++) {
        put(version, {config: configOf(version, 'a', `v${version}`)});
      }
      const {update, isApplied} = sync();
      expect(update.config?.version).to.equal(18);
      expect(isApplied).to.equal(true);
    });

    it('guards against full configurations over low-bandwidth links', () => {
      const {receiver, put, sync} = createPair();
      put(1, {config: configOf(1, 'a')});
      sync();
      for (let version = 2; version < 19; version++) {
        put(version, {config: configOf(version, 'a', `v${version}`)});
      }
      const {update} = sync(false);
      expect(update.lacksVersion).to.equal(true);
      expect(update.config).to.equal(undefined);
      expect(receiver.state.config?.version).to.equal(1);
    });

    it('sends a delta to a peer whose version was published between two reads', () => {
      const {sender, receiver, put} = createPair();
      put(3, {
        config: configOf(3, 'a', 'c'),
        intermediateConfigs: [configOf(2, 'a')],
      });
      receiver.state.applyChanges({
        revision: 2 as SourceRevision,
        config: configOf(2, 'a'),
        workers: [],
      });
      const update = serializeAndParse(
        sender.state.updateSince(undefined, 2, false),
      );
      expect(update.configDelta?.changedRoutes).to.have.length(1);
      expect(receiver.state.applyUpdate(update)).to.equal(true);
      expect(receiver.state.config?.version).to.equal(3);
    });

    it('guards against computing a delta for each of many peers with different versions', () => {
      const {sender, put} = createPair();
      put(1, {config: configOf(1, 'a')});
      put(2, {config: configOf(2, 'a', 'b')});
      put(3, {config: configOf(3, 'a', 'b', 'c')});
      const deltaFrom = (version: number) =>
        sender.state.updateSince(undefined, version, false).configDelta;
      const first = [deltaFrom(1), deltaFrom(2)];
      expect(first.map(delta => delta?.from)).to.deep.equal([1, 2]);
      expect(deltaFrom(1)).to.equal(first[0]);
      expect(deltaFrom(2)).to.equal(first[1]);
      put(4, {config: configOf(4, 'a')});
      expect(deltaFrom(2)?.to).to.equal(4);
    });

    it('guards against a delta that is applied to another version', () => {
      const {sender, receiver, put} = createPair();
      put(1, {config: configOf(1, 'a')});
      put(3, {config: configOf(3, 'a', 'b')});
      receiver.state.applyChanges({
        revision: 2 as SourceRevision,
        config: configOf(2, 'a', 'x'),
        workers: [],
      });
      const update = serializeAndParse(sender.state.updateSince(0, 1, true));
      expect(receiver.state.applyUpdate(update)).to.equal(false);
      expect(receiver.state.config?.version).to.equal(2);
      expect(receiver.state.revision, 'must be fetched again').to.equal(2);
    });

    it('guards against a delta that is applied to other routes of the same version', () => {
      const {sender, receiver, put} = createPair();
      put(1, {config: configOf(1, 'a')});
      put(2, {config: configOf(2, 'a', 'b')});
      const update = serializeAndParse(sender.state.updateSince(0, 1, true));
      receiver.state.applyChanges({
        revision: 1 as SourceRevision,
        config: configOf(1, 'other', 'x'),
        workers: [],
      });
      expect(receiver.state.applyUpdate(update)).to.equal(false);
      expect(receiver.state.config?.version).to.equal(1);
    });

    it('sends removals to a peer that follows', () => {
      const {receiver, put, sync} = createPair();
      put(1, {workers: [createPut(createWorker(), 1)]});
      sync();
      expect(receiver.ids()).to.deep.equal(['i-1']);
      put(2, {workers: [createRemoval('i-1' as WorkerId, 2)]});
      expect(sync().update.workers).to.have.length(1);
      expect(receiver.ids()).to.deep.equal([]);
    });

    it('guards against a removal that the sender holds back and the receiver never receives', () => {
      const {sender, receiver, put, sync} = createPair();
      put(1, {workers: [createPut(createWorker(), 1)]});
      sync();
      endOutage(sender.state, sender.clock);
      put(5, {workers: [createRemoval('i-1' as WorkerId, 4)]});
      sync();
      expect(receiver.state.revision, 'below the held removal').to.equal(3);
      sender.clock.advance(2500);
      sync();
      expect(receiver.ids()).to.deep.equal([]);
      expect(receiver.state.revision).to.equal(5);
    });
  });
});
