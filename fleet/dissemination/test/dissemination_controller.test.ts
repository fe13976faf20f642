import {expect} from 'chai';
import type {PresetName} from '@carobseam/core.types';
import type {RenderedVersion} from '@carobseam/config.declarations';
import {
  makeDeclarations,
  makeLargeDeclarations,
  makePolicy,
  makeRoute,
  makeService,
  makeVersion,
} from '@carobseam/testing.fixtures';
import {TestFleet, type TestDaemon} from './test_fleet.js';

function createVersion(version: number, timeoutMs: number): RenderedVersion {
  return makeVersion(
    version,
    makeDeclarations([
      makeService(),
      makePolicy({timeoutMs}),
      {kind: 'routes', name: 'hints', routes: [makeRoute()]},
    ]),
  );
}

const [first, second, third] = [1, 2, 3].map(version =>
  createVersion(version, 1000 + version),
) as [RenderedVersion, RenderedVersion, RenderedVersion];

async function createFleetWithVersion(
  version: RenderedVersion,
  options: ConstructorParameters<typeof TestFleet>[0],
): Promise<TestFleet> {
  const fleet = new TestFleet(options);
  fleet.daemons.forEach(d =>
    d.dissemination.applyPlatformVersion(version.contents),
  );
  await fleet.clock.advanceAsync(1000);
  fleet.network.receivedRequestCounts.clear();
  return fleet;
}

/** Reports the version of one daemon to all daemons, as probes do. */
function reportVersionToAll(fleet: TestFleet, holder: TestDaemon): void {
  const current = holder.blackboard.read('snapshot')!;
  for (const {dissemination} of fleet.daemons) {
    const {version, manifestDigest} = current;
    dissemination.handlePeerVersion(holder.member, version, manifestDigest);
  }
}

function expectAllAtVersion(fleet: TestFleet, version: number): void {
  expect(new Set(fleet.versions())).to.deep.equal(new Set([version]));
}

describe('DisseminationController', () => {
  for (const profile of ['fast', 'small'] as const) {
    it(`guards against a change that does not reach every daemon (${profile})`, async () => {
      const fleet = await createFleetWithVersion(first, {
        size: 60,
        seed: 1,
        profile,
      });
      fleet.daemons[7]!.dissemination.applyPlatformVersion(second.contents);
      await fleet.clock.advanceAsync(300);
      expectAllAtVersion(fleet, 2);
      // Each daemon except the origin receives the contents once.
      expect(fleet.network.receivedRequestCounts.get('push')).to.equal(59);
    });
  }

  it('guards against distributing each of several quick changes separately (small)', async () => {
    const fleet = await createFleetWithVersion(first, {
      size: 60,
      seed: 12,
      profile: 'small',
    });
    fleet.daemons[7]!.dissemination.applyPlatformVersion(second.contents);
    await fleet.clock.advanceAsync(100);
    fleet.daemons[7]!.dissemination.applyPlatformVersion(third.contents);
    await fleet.clock.advanceAsync(300);
    expectAllAtVersion(fleet, 3);
    expect(fleet.network.receivedRequestCounts.get('push')).to.equal(59);
  });

  it('guards against going back to an older version when updates are reordered', async () => {
    const fleet = await createFleetWithVersion(first, {size: 60, seed: 2});
    fleet.network.setFaults({delayMs: [1, 200]});
    fleet.daemons[3]!.dissemination.applyPlatformVersion(third.contents);
    fleet.daemons[40]!.dissemination.applyPlatformVersion(second.contents);
    const versionsByStep: number[][] = [];
    for (let step = 0; step < 20; step++) {
      await fleet.clock.advanceAsync(100);
      versionsByStep.push(fleet.versions());
    }
    expectAllAtVersion(fleet, 3);
    const hasReverted = versionsByStep
      .slice(1)
      .some((versions, step) =>
        versions.some((version, i) => version < versionsByStep[step]![i]!),
      );
    expect(hasReverted).to.equal(false);
  });

  it('guards against applying an older version from the platform or a peer', async () => {
    const fleet = await createFleetWithVersion(second, {size: 3, seed: 3});
    const [daemon, peer] = fleet.daemons as [TestDaemon, TestDaemon];
    expect(daemon.dissemination.applyPlatformVersion(first.contents)).to.equal(
      'older',
    );
    const digest = first.contents.manifestDigest;
    daemon.dissemination.handlePeerVersion(peer.member, 1, digest);
    await fleet.clock.advanceAsync(5000);
    expectAllAtVersion(fleet, 2);
    expect(fleet.network.receivedRequestCounts.get('pull') ?? 0).to.equal(0);
    const labels = {reason: 'stale'};
    const name = 'carobseam_config_versions_refused_total';
    expect(await daemon.metrics.total(name, labels)).to.equal(1);
  });

  it('guards against distributing different contents under the same version', async () => {
    const fleet = await createFleetWithVersion(second, {size: 20, seed: 4});
    const conflicting = createVersion(2, 77).contents;
    expect(
      fleet.daemons[0]!.dissemination.applyPlatformVersion(conflicting),
    ).to.equal('conflict');
    const [, peer] = fleet.daemons as [TestDaemon, TestDaemon];
    for (let probes = 0; probes < 5; probes++) {
      const {dissemination} = fleet.daemons[2]!;
      dissemination.handlePeerVersion(
        peer.member,
        2,
        conflicting.manifestDigest,
      );
      await fleet.clock.advanceAsync(1000);
    }
    expect(fleet.network.receivedRequestCounts.size).to.equal(0);
    const name = 'carobseam_config_versions_refused_total';
    expect(await fleet.total(name, {reason: 'conflict'})).to.equal(2);
  });

  it('guards against a lost push that is not followed by a pull', async () => {
    const fleet = await createFleetWithVersion(first, {size: 60, seed: 5});
    fleet.network.setFaults({lossRate: 0.5});
    fleet.daemons[0]!.dissemination.applyPlatformVersion(second.contents);
    await fleet.clock.advanceAsync(2000);
    expect(fleet.versions()).to.include(1);
    fleet.network.setFaults({lossRate: 0.1});
    for (let second = 0; second < 5; second++) {
      reportVersionToAll(fleet, fleet.daemons[0]!);
      await fleet.clock.advanceAsync(1000);
    }
    expectAllAtVersion(fleet, 2);
  });

  it('guards against a subtree that is cut off by a dead inner daemon', async () => {
    const fleet = await createFleetWithVersion(first, {size: 60, seed: 6});
    const alive = fleet.daemons.filter((_, index) => index % 5 !== 1);
    fleet.daemons.filter(d => !alive.includes(d)).forEach(d => fleet.kill(d));
    alive[0]!.dissemination.applyPlatformVersion(second.contents);
    await fleet.clock.advanceAsync(300);
    const versions = alive.map(d => d.blackboard.read('snapshot')?.version);
    expect(new Set(versions)).to.deep.equal(new Set([2]));
  });

  it('guards against serving more full transfers than the limit', async () => {
    const fleet = new TestFleet({size: 60, seed: 7});
    const holder = fleet.daemons[0]!;
    fleet.network.setPartition(() => true);
    holder.dissemination.applyPlatformVersion(second.contents);
    await fleet.clock.advanceAsync(5000);
    fleet.network.setPartition(() => false);
    reportVersionToAll(fleet, holder);
    await fleet.clock.advanceAsync(400);
    const labels = {kind: 'serve', outcome: 'sent'};
    const name = 'carobseam_transfers_total';
    const servedTransfers = await holder.metrics.total(name, labels);
    // Within 400 ms: 4 concurrent transfers of 200 ms each.
    expect(servedTransfers).to.be.within(1, 12);
    await fleet.clock.advanceAsync(5000);
    expectAllAtVersion(fleet, 2);
  });

  it('guards against a data centre that stays outdated when it cannot reach the platform', async () => {
    const dataCentres = ['ost-wien', 'ost-linz'];
    const fleet = await createFleetWithVersion(first, {
      size: 20,
      seed: 8,
      dataCentres,
    });
    const reader = fleet.daemons[25]!;
    reader.blackboard.write('reader', true);
    fleet.startExchange();
    fleet.network.setPartition((from, to) => from[4] === to[4]);
    fleet.daemons[0]!.dissemination.applyPlatformVersion(second.contents);
    await fleet.clock.advanceAsync(100);
    fleet.network.setPartition(() => false);
    // The only running daemon there is not the presumed reader.
    fleet.daemons.slice(1, 20).forEach(daemon => fleet.kill(daemon));
    await fleet.clock.advanceAsync(25_000);
    const versions = fleet.versions().slice(20);
    expect(new Set(versions)).to.deep.equal(new Set([2]));
  });

  it('guards against applying a forged or modified delta', async () => {
    const fleet = await createFleetWithVersion(first, {size: 2, seed: 9});
    const [sender, receiver] = fleet.daemons as [TestDaemon, TestDaemon];
    fleet.network.setPartition(() => true);
    sender.dissemination.applyPlatformVersion(second.contents);
    const reply = await sender.dissemination.handlePull({
      heldVersion: 1,
      heldDigest: first.contents.manifestDigest,
    });
    const bytes = Buffer.from((reply as {bytes: Uint8Array}).bytes);
    bytes[bytes.byteLength - 1]! ^= 1;
    const {vmId: senderId} = sender.member;
    const outcome = await receiver.dissemination.handlePush({senderId, bytes});
    expect(outcome).to.deep.equal({outcome: 'rejected'});
    expect(receiver.blackboard.read('snapshot')?.version).to.equal(1);
    const labels = {reason: 'delta_unauthenticated'};
    const name = 'carobseam_messages_dropped_total';
    expect(await receiver.metrics.total(name, labels)).to.equal(1);
  });

  it('guards against validating and pulling an invalid version repeatedly', async () => {
    const fleet = await createFleetWithVersion(first, {size: 2, seed: 10});
    const [daemon, peer] = fleet.daemons as [TestDaemon, TestDaemon];
    const invalidContents = {...second.contents, blobs: new Map()};
    expect(daemon.dissemination.applyPlatformVersion(invalidContents)).to.equal(
      'rejected',
    );
    const name = 'carobseam_config_versions_refused_total';
    const refusalsBefore = await daemon.metrics.total(name);
    for (let probes = 0; probes < 3; probes++) {
      const {manifestDigest} = invalidContents;
      daemon.dissemination.handlePeerVersion(peer.member, 2, manifestDigest);
      daemon.dissemination.applyPlatformVersion(invalidContents);
      await fleet.clock.advanceAsync(1000);
    }
    expect(fleet.network.receivedRequestCounts.size).to.equal(0);
    expect(await daemon.metrics.total(name)).to.equal(refusalsBefore);
  });

  const announcedCases = [
    {profile: 'small', services: 10},
    {profile: 'fast', services: 600},
  ] as const;
  for (const {profile, services} of announcedCases) {
    it(`guards against sending large contents twice to a daemon (${profile})`, async () => {
      const fleet = new TestFleet({size: 8, seed: 13, profile});
      const declarations = makeLargeDeclarations({
        services,
        routesPerService: 4,
        dataCentres: ['ost-wien'],
      });
      const {contents} = makeVersion(1, declarations);
      fleet.daemons[0]!.dissemination.applyPlatformVersion(contents);
      fleet.daemons[1]!.dissemination.applyPlatformVersion(contents);
      await fleet.clock.advanceAsync(3000);
      expectAllAtVersion(fleet, 1);
      expect(fleet.network.receivedRequestCounts.get('push')).to.equal(
        undefined,
      );
      const labels = {kind: 'pull', outcome: 'delta'};
      const name = 'carobseam_transfers_total';
      expect(await fleet.total(name, labels)).to.equal(6);
    });
  }

  it('guards against activating a preset whose resources are missing', async () => {
    // Daemon 2 receives version 2 without the resources of inactive presets,
    // and then a delta from daemon 1 that assumes it has them.
    const profiles = ['small', 'fast', 'small'] as const;
    const profile = (index: number) => profiles[index]!;
    const fleet = new TestFleet({size: 3, seed: 11, profile});
    fleet.daemons[0]!.dissemination.applyPlatformVersion(second.contents);
    await fleet.clock.advanceAsync(3000);
    expectAllAtVersion(fleet, 2);
    const mesh = {activePreset: 'peak' as PresetName};
    const {contents} = makeVersion(3, {...makeDeclarations(), mesh});
    fleet.daemons[1]!.dissemination.applyPlatformVersion(contents);
    await fleet.clock.advanceAsync(1000);
    expectAllAtVersion(fleet, 3);
  });
});
