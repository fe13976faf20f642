import {expect} from 'chai';
import {FakeFleet, type FakeDaemon} from './fake_fleet.js';

const SEED = 7;

function findEndpoint(observer: FakeDaemon, other: FakeDaemon) {
  const {service, vmId} = other.self;
  const workers = observer.blackboard.read('endpoints').get(service) ?? [];
  return workers.find(worker => worker.vmId === vmId);
}

describe('membership', () => {
  it('guards against members declared dead because of datagram loss, delay and duplicates', async () => {
    const fleet = new FakeFleet(20, SEED);
    let datagramCount = 0;
    fleet.isLost = () => datagramCount++ % 20 === 0;
    fleet.copiesPerDatagram = 2;
    fleet.extraDelayMs = () => (datagramCount * 37) % 120;
    const states = new Set<string | undefined>();
    for (let second = 0; second < 30; second++) {
      await fleet.run(1000);
      for (const daemon of fleet.daemons) {
        fleet.daemons.forEach(other => states.add(daemon.stateOf(other)));
      }
    }
    expect(states).not.to.include('dead');
  });

  it('guards against a crashed daemon that remains an endpoint for calls', async () => {
    const fleet = new FakeFleet(20, SEED);
    await fleet.run(5000);
    const [crashed, observer] = fleet.daemons as [FakeDaemon, FakeDaemon];
    crashed.crash();
    await fleet.run(3000);
    expect(fleet.allSee('dead', [crashed])).to.equal(true);
    const member = observer.blackboard.read('members').get(crashed.self.vmId);
    expect(member?.goneProved).to.equal(true);
    expect(findEndpoint(observer, crashed)).to.equal(undefined);
  });

  it('guards against a member declared dead when only one network path fails', async () => {
    const fleet = new FakeFleet(8, SEED);
    await fleet.run(3000);
    const [prober, target] = fleet.daemons as [FakeDaemon, FakeDaemon];
    const pair = new Set([prober, target]);
    fleet.isLost = (from, to) => pair.has(from) && pair.has(to);
    for (let step = 0; step < 300; step++) {
      await fleet.run(100);
      expect(prober.stateOf(target)).to.equal('alive');
    }
    const indirectSuccesses = await prober.metrics.total(
      'carobseam_probes_total',
      {outcome: 'indirect'},
    );
    expect(indirectSuccesses).to.be.at.least(1);
  });

  it('guards against a paused daemon that declares others dead when it resumes', async () => {
    const fleet = new FakeFleet(10, SEED);
    await fleet.run(5000);
    const paused = fleet.daemons[0]!;
    const deaths: string[] = [];
    paused.blackboard.observe('members', members =>
      members.forEach(
        member => member.state === 'dead' && deaths.push(member.vmId),
      ),
    );
    paused.clock.isPaused = true;
    await fleet.run(10_000);
    expect(fleet.daemons[1]!.stateOf(paused)).to.equal('dead');
    paused.clock.resume();
    expect(paused.blackboard.read('contact').majority).to.equal(false);
    await fleet.run(2000);
    expect(deaths).to.deep.equal([]);
    expect(fleet.allSee('alive')).to.equal(true);
    expect(paused.blackboard.read('lastResume')?.monotonicMs).to.equal(15_000);
    const pausedMember = fleet.daemons[1]!.blackboard.read('members').get(
      paused.self.vmId,
    );
    expect(pausedMember?.incarnation).to.be.above(paused.self.incarnation);
  });

  it('guards against members that stay dead after a partition has healed', async () => {
    const fleet = new FakeFleet(20, SEED);
    await fleet.run(5000);
    const smallSide = new Set(fleet.daemons.slice(0, 8));
    fleet.isLost = (from, to) => smallSide.has(from) !== smallSide.has(to);
    await fleet.run(30_000);
    const [smallSideDaemon, largeSideDaemon] = [
      fleet.daemons[0]!,
      fleet.daemons[19]!,
    ];
    expect(smallSideDaemon.stateOf(largeSideDaemon)).to.equal('dead');
    expect(smallSideDaemon.blackboard.read('contact').majority).to.equal(false);
    expect(largeSideDaemon.blackboard.read('contact').majority).to.equal(true);
    fleet.isLost = () => false;
    await fleet.run(10_000);
    expect(fleet.allSee('alive')).to.equal(true);
    expect(smallSideDaemon.blackboard.read('contact').majority).to.equal(true);
  });

  it('guards against an isolated daemon that still reports a majority', async () => {
    const fleet = new FakeFleet(9, SEED);
    await fleet.run(5000);
    const isolated = fleet.daemons[0]!;
    expect(isolated.blackboard.read('contact').majority).to.equal(true);
    fleet.isLost = (from, to) => from === isolated || to === isolated;
    await fleet.run(2000);
    expect(isolated.blackboard.read('contact').majority).to.equal(false);
  });

  it('guards against a false report that its subject cannot refute', async () => {
    const fleet = new FakeFleet(5, SEED);
    await fleet.run(3000);
    const [reporter, subject] = fleet.daemons as [FakeDaemon, FakeDaemon];
    const subjectRecord = reporter.blackboard
      .read('members')
      .get(subject.self.vmId)!;
    reporter.membership.mergeRecords([{...subjectRecord, state: 'dead'}]);
    expect(reporter.stateOf(subject)).to.equal('dead');
    await fleet.run(6000);
    expect(fleet.allSee('alive')).to.equal(true);
  });

  for (const losesNotices of [false, true]) {
    const variant = losesNotices ? 'without notices' : 'with notices';
    it(`guards against new calls to a leaving daemon, ${variant}`, async () => {
      const fleet = new FakeFleet(210, SEED, true);
      await fleet.run(1500);
      fleet.losesNotices = losesNotices;
      const [leaving, observer] = fleet.daemons as [FakeDaemon, FakeDaemon];
      void leaving.membership.announceLeaving();
      await fleet.run(2000);
      expect(fleet.allSee('leaving', [leaving])).to.equal(true);
      expect(findEndpoint(observer, leaving)?.leaving).to.equal(true);
    }).timeout(60_000);
  }

  it('guards against a restarted daemon that peers still consider dead', async () => {
    const fleet = new FakeFleet(6, SEED);
    await fleet.run(3000);
    fleet.daemons[0]!.crash();
    await fleet.run(10_000);
    // After the wall clock was set back, a restart has a lower incarnation.
    const restarted = fleet.restart(0, 1);
    await fleet.run(10_000);
    expect(fleet.allSee('alive')).to.equal(true);
    expect(findEndpoint(fleet.daemons[1]!, restarted)?.leaving).to.equal(false);
  });

  it('guards against removing responding members because the VM list lags', async () => {
    const fleet = new FakeFleet(4, SEED);
    await fleet.run(3000);
    const [observer, responding, crashed] = fleet.daemons as FakeDaemon[];
    crashed!.crash();
    const remainingVms = fleet
      .listVms()
      .filter((_, index) => index !== 1 && index !== 2);
    fleet.daemons.forEach(daemon => daemon.setVmList(remainingVms));
    await fleet.run(5000);
    expect(observer!.stateOf(responding!)).to.equal('alive');
    expect(observer!.stateOf(crashed!)).to.equal(undefined);
  });
});
