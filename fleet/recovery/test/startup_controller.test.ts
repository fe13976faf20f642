import {expect} from 'chai';
import {
  createDaemonBlackboard,
  type DaemonState,
} from '@carobseam/core.blackboard';
import {ManualClock, SeededRandom} from '@carobseam/core.clock';
import {silentLogger} from '@carobseam/core.logger';
import type {VmId} from '@carobseam/core.types';
import {
  DeferredVersions,
  StartupController,
  LastSeenVersions,
  type SurveyResponse,
} from '@carobseam/fleet.recovery';

const SEED = 3;
const SELF = 'vm-0' as VmId;

interface FakePeer {
  version: number;
  highestSeenVersion?: number;
  lastVersionOfAsker?: number;
  busyTimes?: number;
}

function answerOf(peer: FakePeer, at: number): SurveyResponse {
  const {version, highestSeenVersion = version, lastVersionOfAsker = 0} = peer;
  return {
    peer: {address: '10.0.0.1', fleetPort: at + 1},
    state: {
      vmId: `vm-${at + 1}` as VmId,
      version,
      highestSeenVersion,
      lastVersionOfAsker,
      members: [],
    },
  };
}

/** A starting daemon whose applier refuses what is below the floor. */
async function setUp(peers: FakePeer[]) {
  const clock = new ManualClock();
  const blackboard = createDaemonBlackboard();
  const pulls: number[] = [];
  const offer = ({manifest}: {manifest: {version: number}}) => {
    const {hard, soft, softActive} = blackboard.read('versionFloor');
    if (manifest.version < Math.max(hard, softActive ? soft : 0)) {
      return 'below_floor';
    }
    const snapshot = {version: manifest.version} as DaemonState['snapshot'];
    blackboard.write('snapshot', snapshot);
    return 'applied';
  };
  const controller = new StartupController({
    blackboard,
    clock,
    random: new SeededRandom(SEED),
    logger: silentLogger,
    survey: {ask: async () => peers.map(answerOf)},
    pullFrom: async ({fleetPort}) => {
      const peer = peers[fleetPort - 1]!;
      pulls.push(fleetPort - 1);
      if (peer.busyTimes) {
        peer.busyTimes--;
        throw new Error('busy');
      }
      return offer({manifest: peer});
    },
    onMembers: () => {},
    onHighestSeen: () => {},
  });
  const offers = new DeferredVersions({blackboard, offer});
  await controller.start();
  const version = () => blackboard.read('snapshot')?.version;
  const fromPlatform = (v: number) => offers.offer({manifest: {version: v}});
  return {clock, blackboard, pulls, version, fromPlatform};
}

describe('start sequence', () => {
  it('guards against a stale platform that is read before the peers', async () => {
    const {clock, version, fromPlatform} = await setUp([{version: 9}]);
    fromPlatform(5);
    expect(version()).to.equal(undefined);
    await clock.advanceAsync(1000);
    expect(version()).to.equal(9);
  });

  it('guards against going below the version held before a restart', async () => {
    const peers = [{version: 4, highestSeenVersion: 7, lastVersionOfAsker: 7}];
    const {clock, version, fromPlatform} = await setUp(peers);
    fromPlatform(6);
    await clock.advanceAsync(60_000);
    expect(version()).to.equal(undefined);
    fromPlatform(7);
    expect(version()).to.equal(7);
  });

  it('guards against a stale peer while another one is ahead', async () => {
    const peers = [{version: 4}, {version: 8}, {version: 6}];
    const {clock, version, pulls} = await setUp(peers);
    await clock.advanceAsync(1000);
    expect(version()).to.equal(8);
    expect(pulls).to.deep.equal([1]);
  });

  it('guards against a start that hangs on a busy peer', async () => {
    const peers = [{version: 8, busyTimes: 99}, {version: 8}];
    const {clock, version, pulls} = await setUp(peers);
    await clock.advanceAsync(1000);
    expect(version()).to.equal(8);
    expect(pulls).to.deep.equal([0, 1]);
  });

  it('guards against a soft floor that no live peer can satisfy', async () => {
    const peers = [{version: 0, highestSeenVersion: 7}];
    const {clock, version, fromPlatform} = await setUp(peers);
    fromPlatform(5);
    await clock.advanceAsync(9000);
    expect(version()).to.equal(undefined);
    await clock.advanceAsync(5000);
    expect(version()).to.equal(5);
  });

  it('guards against an undercut soft floor while a peer holds it', async () => {
    const peers = [{version: 7, busyTimes: 99}];
    const {clock, version, fromPlatform} = await setUp(peers);
    fromPlatform(5);
    await clock.advanceAsync(30_000);
    expect(version()).to.equal(undefined);
  });

  it('guards against waiting for ever when every peer is gone', async () => {
    const {clock, version, fromPlatform, blackboard} = await setUp([]);
    fromPlatform(5);
    await clock.advanceAsync(4000);
    expect(version()).to.equal(undefined);
    await clock.advanceAsync(4000);
    expect(blackboard.read('versionFloor').settled).to.equal(true);
    expect(version()).to.equal(5);
  });
});

describe('VersionMemory', () => {
  it('guards against a restart that erases the version held before', () => {
    const memory = new LastSeenVersions();
    memory.record(SELF, 7);
    memory.record(SELF, 0);
    memory.record(SELF, 3);
    expect(memory.lastSeenVersion(SELF)).to.equal(7);
    expect(memory.highest).to.equal(7);
  });
});
