import {LoadBalancer} from '@carobseam/calls.balancing';
import {ManualClock, SeededRandom} from '@carobseam/core.clock';
import {Metrics} from '@carobseam/core.metrics';
import type {DataCentreName, ServiceName, VmId} from '@carobseam/core.types';
import type {WorkerEndpoint} from '@carobseam/fleet.types';
import {expect} from 'chai';

const OWN = 'ost-wien' as DataCentreName;
const OTHER = 'ost-linz' as DataCentreName;

function worker(
  id: string,
  fields: Partial<WorkerEndpoint> = {},
): WorkerEndpoint {
  return {
    vmId: id as VmId,
    dataCentre: OWN,
    service: 'hintdesk' as ServiceName,
    address: '127.0.0.1',
    callersPort: 1,
    leaving: false,
    ...fields,
  };
}

describe('LoadBalancer', () => {
  const workers = ['a', 'b', 'c', 'd'].map(id => worker(id));
  let clock: ManualClock;
  let balancer: LoadBalancer;

  beforeEach(() => {
    clock = new ManualClock();
    balancer = new LoadBalancer({
      dataCentre: OWN,
      clock,
      random: new SeededRandom(3),
      metrics: new Metrics(),
    });
  });

  function shares(from = workers, allowOtherDataCentres = false) {
    const counts: Record<string, number> = {};
    for (let call = 0; call < 1000; call++) {
      const limits = {allowOtherDataCentres, triedVmIds: []};
      const chosen = balancer.chooseWorker(from, limits);
      const name = chosen?.vmId ?? 'none';
      counts[name] = (counts[name] ?? 0) + 1;
    }
    return counts;
  }

  function fail(id: string, times: number): void {
    for (let call = 0; call < times; call++) {
      balancer.recordFailure(id as VmId, workers);
    }
  }

  it('avoids the worker that reports the highest load', () => {
    const load = {running: 15, queued: 40, slots: 20};
    balancer.reportLoad('a' as VmId, load);
    expect(shares()).not.to.have.property('a');
  });

  it('ignores a load report older than 2 s', () => {
    balancer.reportLoad('a' as VmId, {running: 15, queued: 40, slots: 16});
    clock.advance(2000);
    expect(shares().a).to.be.within(150, 350);
  });

  it('does not send a burst of calls to one worker between two load reports', () => {
    for (let call = 0; call < 40; call++) {
      const limits = {allowOtherDataCentres: false, triedVmIds: []};
      balancer.recordCallStart(balancer.chooseWorker(workers, limits)!.vmId);
    }
    workers.forEach(({vmId}) => balancer.recordCallEnd(vmId));
    balancer.recordCallStart('a' as VmId);
    balancer.recordCallStart('a' as VmId);
    expect(shares().a ?? 0).to.be.below(250);
  });

  it('uses another data centre only if allowed and its own has no usable worker', () => {
    const mixed = [worker('own'), worker('far', {dataCentre: OTHER})];
    expect(shares(mixed, true)).to.deep.equal({own: 1000});
    balancer.markLeaving('own' as VmId);
    expect(shares(mixed, true)).to.deep.equal({far: 1000});
    expect(shares(mixed, false)).to.deep.equal({none: 1000});
  });

  it('sends no new calls to a worker that is leaving', () => {
    const listed = [worker('a', {leaving: true}), worker('b')];
    expect(shares(listed)).to.deep.equal({b: 1000});
    balancer.markLeaving('b' as VmId);
    expect(shares(listed)).to.deep.equal({none: 1000});
  });

  it('ejects a worker after 5 consecutive failures, with exponential backoff', () => {
    fail('a', 4);
    expect(shares()).to.have.property('a');
    fail('a', 1);
    expect(shares()).not.to.have.property('a');
    clock.advance(5000);
    expect(shares()).to.have.property('a');
    fail('a', 5);
    clock.advance(5000);
    expect(shares()).not.to.have.property('a');
    clock.advance(5000);
    expect(shares()).to.have.property('a');
  });

  it('ejects a worker when half of its calls fail, even alternately', () => {
    for (let call = 0; call < 10; call++) {
      balancer.recordSuccess('a' as VmId);
      fail('a', 1);
    }
    expect(shares()).not.to.have.property('a');
  });

  it('never ejects more than half of the workers', () => {
    workers.forEach(({vmId}) => fail(vmId, 5));
    expect(Object.keys(shares())).to.have.length(2);
  });

  it('gives a recovered worker a gradually growing share of calls', () => {
    fail('a', 5);
    clock.advance(5000);
    const early = shares().a ?? 0;
    clock.advance(5000);
    const middle = shares().a ?? 0;
    clock.advance(5000);
    expect(early).to.be.within(1, 60);
    expect(middle).to.be.within(80, 200);
    expect(shares().a).to.be.within(200, 300);
  });
});
