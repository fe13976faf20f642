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
  busyCount?: number;
}

function responseOf(peer: FakePeer, index: number): SurveyResponse {
  const {version, highestSeenVersion = version, lastVersionOfAsker = 0} = peer;
  return {
    peer: {address: '10.0.0.1', fleetPort: index + 1},
    state: {
      vmId: `vm-${index + 1}` as VmId,
      version,
      highestSeenVersion,
      lastVersionOfAsker,
      members: [],
    },
  };
}

/** Starts a daemon that refuses versions below the version floor. */
async function startDaemon(peers: FakePeer[]) {
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
    survey: {run: async () => peers.map(responseOf)},
    pullFrom: async ({fleetPort}) => {
      const peer = peers[fleetPort - 1]!;
      pulls.push(fleetPort - 1);
      if (peer.busyCount) {
        peer.busyCount--;
        throw new Error('busy');
      }
      return offer({manifest: peer});
    },
    onMembers: () => {},
    onHighestSeen: () => {},
  });
  const deferredVersions = new DeferredVersions({blackboard, offer});
  await controller.start();
  const version = () => blackboard.read('snapshot')?.version;
  const offerFromPlatform = (v: number) =>
    deferredVersions.offer({manifest: {version: v}});
  return {clock, blackboard, pulls, version, offerFromPlatform};
}

describe('start sequence', () => {
  it('guards against a version of a stale platform that is read before the peers respond', async () => {
    const {clock, version, offerFromPlatform} = await startDaemon([
      {version: 9},
    ]);
    offerFromPlatform(5);
    expect(version()).to.equal(undefined);
    await clock.advanceAsync(1000);
    expect(version()).to.equal(9);
  });

  it('guards against a version below the one that this VM had before a restart', async () => {
    const peers = [{version: 4, highestSeenVersion: 7, lastVersionOfAsker: 7}];
    const {clock, version, offerFromPlatform} = await startDaemon(peers);
    offerFromPlatform(6);
    await clock.advanceAsync(60_000);
    expect(version()).to.equal(undefined);
    offerFromPlatform(7);
    expect(version()).to.equal(7);
  });

  it('guards against pulling from a stale peer while another has a newer version', async () => {
    const peers = [{version: 4}, {version: 8}, {version: 6}];
    const {clock, version, pulls} = await startDaemon(peers);
    await clock.advanceAsync(1000);
    expect(version()).to.equal(8);
    expect(pulls).to.deep.equal([1]);
  });

  it('guards against a start that hangs because one peer is busy', async () => {
    const peers = [{version: 8, busyCount: 99}, {version: 8}];
    const {clock, version, pulls} = await startDaemon(peers);
    await clock.advanceAsync(1000);
    expect(version()).to.equal(8);
    expect(pulls).to.deep.equal([0, 1]);
  });

  it('guards against waiting without end for a soft floor that no live peer has', async () => {
    const peers = [{version: 0, highestSeenVersion: 7}];
    const {clock, version, offerFromPlatform} = await startDaemon(peers);
    offerFromPlatform(5);
    await clock.advanceAsync(9000);
    expect(version()).to.equal(undefined);
    await clock.advanceAsync(5000);
    expect(version()).to.equal(5);
  });

  it('guards against a version below the soft floor while a live peer has that version', async () => {
    const peers = [{version: 7, busyCount: 99}];
    const {clock, version, offerFromPlatform} = await startDaemon(peers);
    offerFromPlatform(5);
    await clock.advanceAsync(30_000);
    expect(version()).to.equal(undefined);
  });

  it('guards against waiting without end when no peer responds', async () => {
    const {clock, version, offerFromPlatform, blackboard} = await startDaemon(
      [],
    );
    offerFromPlatform(5);
    await clock.advanceAsync(4000);
    expect(version()).to.equal(undefined);
    await clock.advanceAsync(4000);
    expect(blackboard.read('versionFloor').settled).to.equal(true);
    expect(version()).to.equal(5);
  });
});

describe('LastSeenVersions', () => {
  it('guards against a restart of a VM that erases its last seen version', () => {
    const versions = new LastSeenVersions();
    versions.record(SELF, 7);
    versions.record(SELF, 0);
    versions.record(SELF, 3);
    expect(versions.lastSeenVersion(SELF)).to.equal(7);
    expect(versions.highest).to.equal(7);
  });
});
