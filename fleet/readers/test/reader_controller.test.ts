import {expect} from 'chai';
import {manifestKey} from '@carobseam/config.types';
import {listFilesToPublish} from '@carobseam/config.declarations';
import {makeVersion} from '@carobseam/testing.fixtures';
import {
  InMemoryFleet,
  KEY_PREFIX,
  makeListedVm,
} from '@carobseam/testing.scenarios';

const REFUSED_VERSIONS = 'carobseam_config_versions_refused_total';

describe('ReaderController', () => {
  it('guards against a cold start that exceeds the call limit', async () => {
    // One tenth of the target fleet size and of its call limit.
    const fleet = new InMemoryFleet({
      vmsPerDataCentre: 105,
      dataCentres: ['ost-wien', 'ost-linz'],
      limitCallsPerSecond: 200,
      seed: 1,
    });
    fleet.publish(makeVersion(1));
    await fleet.start();
    await fleet.clock.advanceAsync(6000);
    const stats = fleet.platform.getStats();
    expect(fleet.distinctVersions()).to.deep.equal(new Set([1]));
    expect(stats.peakCallsPerSecond).to.be.at.most(200);
    expect(stats.refusedCalls).to.equal(0);
    fleet.platform.resetStats();
    fleet.publish(makeVersion(2));
    await fleet.clock.advanceAsync(1000);
    expect(fleet.distinctVersions()).to.deep.equal(new Set([2]));
    // 2 data centres x 2 readers x 4 calls per change.
    expect(fleet.platform.getStats().calls).to.be.at.most(16);
  });

  it('guards against every daemon watching the list of VMs', async () => {
    const fleet = new InMemoryFleet({vmsPerDataCentre: 30, seed: 2});
    await fleet.start();
    await fleet.clock.advanceAsync(3000);
    fleet.platform.resetStats();
    const previous = [...fleet.distinctVmListIndexes()];
    fleet.platform.putVms([...fleet.vms, makeListedVm('ost-wien-new')]);
    await fleet.clock.advanceAsync(1000);
    expect(fleet.distinctVmListIndexes()).to.not.include(previous[0]);
    expect(fleet.distinctVmListIndexes().size).to.equal(1);
    const [daemon] = fleet.daemons;
    expect(daemon!.blackboard.read('vmList').vms).to.have.length(31);
    expect(fleet.platform.getStats().calls).to.be.at.most(4);
  });

  it('guards against an older version from a stale platform', async () => {
    const fleet = new InMemoryFleet({vmsPerDataCentre: 3, seed: 3});
    fleet.publish(makeVersion(5));
    await fleet.start();
    await fleet.clock.advanceAsync(3000);
    fleet.publish(makeVersion(4));
    await fleet.clock.advanceAsync(3000);
    expect(fleet.distinctVersions()).to.deep.equal(new Set([5]));
    expect(await fleet.sumMetric(REFUSED_VERSIONS, {reason: 'stale'})).to.equal(
      2,
    );
  });

  it('guards against a version that is skipped because a pack becomes visible late', async () => {
    const fleet = new InMemoryFleet({vmsPerDataCentre: 3, seed: 4});
    const files = listFilesToPublish(makeVersion(1), KEY_PREFIX).reverse();
    const [manifest, ...packs] = files as [(typeof files)[0]];
    fleet.platform.put(manifest.key, manifest.bytes);
    await fleet.start();
    await fleet.clock.advanceAsync(5000);
    expect(fleet.distinctVersions()).to.deep.equal(new Set([0]));
    // Two readers, each with retry delays that double, starting from at least 100 ms.
    const missing = await fleet.sumMetric(REFUSED_VERSIONS, {
      reason: 'missing_pack',
    });
    expect(missing).to.be.within(1, 14);
    packs.forEach(({key, bytes}) => fleet.platform.put(key, bytes));
    await fleet.clock.advanceAsync(6000);
    expect(fleet.distinctVersions()).to.deep.equal(new Set([1]));
  });

  it('guards against corrupt packs and manifests', async () => {
    const fleet = new InMemoryFleet({vmsPerDataCentre: 1, seed: 5});
    const files = listFilesToPublish(makeVersion(1), KEY_PREFIX);
    const corrupt = Buffer.from('corrupt');
    files.slice(0, -1).forEach(({key}) => fleet.platform.put(key, corrupt));
    const manifest = files.at(-1)!;
    fleet.platform.put(manifest.key, manifest.bytes);
    await fleet.start();
    await fleet.clock.advanceAsync(3000);
    expect(
      await fleet.sumMetric(REFUSED_VERSIONS, {reason: 'corrupt_pack'}),
    ).to.be.above(0);
    fleet.platform.put(manifestKey(KEY_PREFIX), corrupt);
    await fleet.clock.advanceAsync(6000);
    const reason = 'corrupt_manifest';
    expect(await fleet.sumMetric(REFUSED_VERSIONS, {reason})).to.equal(1);
    expect(fleet.distinctVersions()).to.deep.equal(new Set([0]));
  });

  it('guards against a flood of reads during and after a long outage of the platform', async () => {
    const fleet = new InMemoryFleet({vmsPerDataCentre: 30, seed: 6});
    fleet.publish(makeVersion(1));
    await fleet.start();
    await fleet.clock.advanceAsync(3000);
    fleet.platform.setFaults({down: true});
    await fleet.clock.advanceAsync(600_000);
    fleet.platform.resetStats();
    await fleet.clock.advanceAsync(60_000);
    // Two readers, each with a backoff of 15 s on average.
    expect(fleet.platform.getStats().calls).to.be.at.most(30);
    fleet.platform.setFaults({down: false});
    fleet.publish(makeVersion(2));
    fleet.platform.resetStats();
    await fleet.clock.advanceAsync(31_000);
    expect(fleet.distinctVersions()).to.deep.equal(new Set([2]));
    expect(fleet.platform.getStats().peakCallsPerSecond).to.be.at.most(10);
  });

  it('guards against an isolated daemon that does not read the platform itself', async () => {
    const fleet = new InMemoryFleet({vmsPerDataCentre: 20, seed: 7});
    fleet.publish(makeVersion(1));
    await fleet.start();
    await fleet.clock.advanceAsync(3000);
    const isolated = fleet.daemons.find(d => !d.blackboard.read('reader'))!;
    const {address} = isolated.vm;
    fleet.network.setPartition((from, to) => [from, to].includes(address));
    fleet.publish(makeVersion(2));
    await fleet.clock.advanceAsync(8000);
    expect(fleet.distinctVersions()).to.deep.equal(new Set([2]));
  });

  it('guards against a watch that never completes', async () => {
    const fleet = new InMemoryFleet({
      vmsPerDataCentre: 1,
      seed: 8,
      wrapReader: reader => {
        let watches = 0;
        return {
          read: (key, options) => reader.read(key, options),
          watch: (key, options) =>
            ++watches === 2
              ? new Promise(() => {})
              : reader.watch(key, options),
          listVms: options => reader.listVms(options),
          close: () => reader.close(),
        };
      },
    });
    fleet.publish(makeVersion(1));
    await fleet.start();
    await fleet.clock.advanceAsync(3000);
    expect(fleet.distinctVersions()).to.deep.equal(new Set([1]));
    fleet.publish(makeVersion(2));
    await fleet.clock.advanceAsync(33_000);
    expect(fleet.distinctVersions()).to.deep.equal(new Set([2]));
  });
});
