import {expect} from 'chai';
import {FakeFleet, type FakeNode} from './fake_fleet.js';

const SEED = 7;

function endpointOf(observer: FakeNode, other: FakeNode) {
  const {service, vmId} = other.self;
  const workers = observer.blackboard.read('endpoints').get(service) ?? [];
  return workers.find(worker => worker.vmId === vmId);
}

describe('membership', () => {
  it('guards against false deaths on loss, delay and duplicates', async () => {
    const fleet = new FakeFleet(20, SEED);
    let count = 0;
    fleet.isLost = () => count++ % 20 === 0;
    fleet.copies = 2;
    fleet.extraDelayMs = () => (count * 37) % 120;
    const states = new Set<string | undefined>();
    for (let second = 0; second < 30; second++) {
      await fleet.run(1000);
      for (const node of fleet.nodes) {
        fleet.nodes.forEach(other => states.add(node.stateOf(other)));
      }
    }
    expect(states).not.to.include('dead');
  });

  it('guards against a crashed daemon that keeps getting calls', async () => {
    const fleet = new FakeFleet(20, SEED);
    await fleet.run(5000);
    const [crashed, observer] = fleet.nodes as [FakeNode, FakeNode];
    crashed.crash();
    await fleet.run(3000);
    expect(fleet.allSee('dead', [crashed])).to.equal(true);
    const member = observer.blackboard.read('members').get(crashed.self.vmId);
    expect(member?.goneProved).to.equal(true);
    expect(endpointOf(observer, crashed)).to.equal(undefined);
  });

  it('guards against a member declared dead for one bad path', async () => {
    const fleet = new FakeFleet(8, SEED);
    await fleet.run(3000);
    const [a, b] = fleet.nodes as [FakeNode, FakeNode];
    const pair = new Set([a, b]);
    fleet.isLost = (from, to) => pair.has(from) && pair.has(to);
    for (let step = 0; step < 300; step++) {
      await fleet.run(100);
      expect(a.stateOf(b)).to.equal('alive');
    }
    const saved = await a.metrics.total('carobseam_probes_total', {
      outcome: 'indirect',
    });
    expect(saved).to.be.at.least(1);
  });

  it('guards against a pause that makes a daemon declare others dead', async () => {
    const fleet = new FakeFleet(10, SEED);
    await fleet.run(5000);
    const paused = fleet.nodes[0]!;
    const deaths: string[] = [];
    paused.blackboard.observe('members', members =>
      members.forEach(m => m.state === 'dead' && deaths.push(m.vmId)),
    );
    paused.clock.paused = true;
    await fleet.run(10_000);
    expect(fleet.nodes[1]!.stateOf(paused)).to.equal('dead');
    paused.clock.resume();
    expect(paused.blackboard.read('contact').majority).to.equal(false);
    await fleet.run(2000);
    expect(deaths).to.deep.equal([]);
    expect(fleet.allSee('alive')).to.equal(true);
    expect(paused.blackboard.read('lastResume')?.monotonicMs).to.equal(15_000);
    const pausedMember = fleet.nodes[1]!.blackboard.read('members').get(
      paused.self.vmId,
    );
    expect(pausedMember?.incarnation).to.be.above(paused.self.incarnation);
  });

  it('guards against a partition that stays after it has healed', async () => {
    const fleet = new FakeFleet(20, SEED);
    await fleet.run(5000);
    const left = new Set(fleet.nodes.slice(0, 8));
    fleet.isLost = (from, to) => left.has(from) !== left.has(to);
    await fleet.run(30_000);
    const [small, large] = [fleet.nodes[0]!, fleet.nodes[19]!];
    expect(small.stateOf(large)).to.equal('dead');
    expect(small.blackboard.read('contact').majority).to.equal(false);
    expect(large.blackboard.read('contact').majority).to.equal(true);
    fleet.isLost = () => false;
    await fleet.run(10_000);
    expect(fleet.allSee('alive')).to.equal(true);
    expect(small.blackboard.read('contact').majority).to.equal(true);
  });

  it('guards against a majority that lost contact but is still believed', async () => {
    const fleet = new FakeFleet(9, SEED);
    await fleet.run(5000);
    const alone = fleet.nodes[0]!;
    expect(alone.blackboard.read('contact').majority).to.equal(true);
    fleet.isLost = (from, to) => from === alone || to === alone;
    await fleet.run(2000);
    expect(alone.blackboard.read('contact').majority).to.equal(false);
  });

  it('guards against a suspicion that its subject cannot refute', async () => {
    const fleet = new FakeFleet(5, SEED);
    await fleet.run(3000);
    const [reporter, subject] = fleet.nodes as [FakeNode, FakeNode];
    const known = reporter.blackboard.read('members').get(subject.self.vmId)!;
    reporter.membership.mergeRecords([{...known, state: 'dead'}]);
    expect(reporter.stateOf(subject)).to.equal('dead');
    await fleet.run(6000);
    expect(fleet.allSee('alive')).to.equal(true);
  });

  for (const losesNotices of [false, true]) {
    const how = losesNotices ? 'without notices' : 'with notices';
    it(`guards against new work for a leaving daemon, ${how}`, async () => {
      const fleet = new FakeFleet(210, SEED, true);
      await fleet.run(1500);
      fleet.losesNotices = losesNotices;
      const [leaving, observer] = fleet.nodes as [FakeNode, FakeNode];
      void leaving.membership.announceLeaving();
      await fleet.run(2000);
      expect(fleet.allSee('leaving', [leaving])).to.equal(true);
      expect(endpointOf(observer, leaving)?.leaving).to.equal(true);
    }).timeout(60_000);
  }

  it('guards against a restarted daemon that peers take for dead', async () => {
    const fleet = new FakeFleet(6, SEED);
    await fleet.run(3000);
    fleet.nodes[0]!.crash();
    await fleet.run(10_000);
    // A wall clock that went back gives the restart a lower incarnation.
    const restarted = fleet.restart(0, 1);
    await fleet.run(10_000);
    expect(fleet.allSee('alive')).to.equal(true);
    expect(endpointOf(fleet.nodes[1]!, restarted)?.leaving).to.equal(false);
  });

  it('guards against a lagging list that overrules peers that respond', async () => {
    const fleet = new FakeFleet(4, SEED);
    await fleet.run(3000);
    const [observer, responding, gone] = fleet.nodes as FakeNode[];
    gone!.crash();
    const rest = fleet.list().filter((_, at) => at !== 1 && at !== 2);
    fleet.nodes.forEach(node => node.setList(rest));
    await fleet.run(5000);
    expect(observer!.stateOf(responding!)).to.equal('alive');
    expect(observer!.stateOf(gone!)).to.equal(undefined);
  });
});
