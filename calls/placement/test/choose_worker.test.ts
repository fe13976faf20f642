import {
  chooseWorker,
  type ChooseWorkerOptions,
  type LoadEstimate,
} from '@carobseam/calls.placement';
import type {MeshWorker, WorkerId} from '@carobseam/config.mesh';
import {SeededRandom} from '@carobseam/core.clock';
import type {DataCentreName, ServiceName} from '@carobseam/core.types';
import {expect} from 'chai';

function createWorker(id: string, dataCentre: string): MeshWorker {
  return {
    id: id as WorkerId,
    service: 'desk' as ServiceName,
    address: `10.0.0.${id}:8000`,
    dataCentre: dataCentre as DataCentreName,
    slots: 12,
    isLeaving: false,
    coldRemainingMs: 0,
    bornMs: 0,
  };
}

const LOCAL = createWorker('1', 'wien');
const REMOTE = createWorker('2', 'linz');

function choose(
  loads: Record<string, Partial<LoadEstimate>>,
  overrides: Partial<ChooseWorkerOptions> = {},
) {
  return chooseWorker({
    workers: [LOCAL, REMOTE],
    dataCentre: 'wien' as DataCentreName,
    dueInMs: 500,
    targetLatencyMs: 500,
    estimate: worker => ({
      waitMs: 0,
      serviceMs: 160,
      failureShare: 0,
      isFull: false,
      isDown: false,
      isLoadUnknown: false,
      isLeaving: false,
      ...loads[worker.id],
    }),
    isUnreachable: () => false,
    isCutOff: () => false,
    hasLeft: () => false,
    triedWorkerIds: new Set(),
    random: new SeededRandom(3),
    ...overrides,
  });
}

describe('chooseWorker', () => {
  it('prefers the local data centre while the response is in time there', () => {
    const choice = choose({1: {waitMs: 200}});
    expect(choice?.worker.id).to.equal('1');
    expect(choice?.reason).to.equal('local');
  });

  it('chooses a remote worker when only another data centre is in time', () => {
    const choice = choose({1: {waitMs: 600}});
    expect(choice?.reason).to.equal('remote');
  });

  it('does not choose a remote worker that has just refused a request', () => {
    const choice = choose({1: {waitMs: 600}, 2: {isFull: true}});
    expect(choice?.reason).to.equal('local');
  });

  it('soon sends a request to a worker of unknown load', () => {
    const random = new SeededRandom(11);
    const choices = Array.from({length: 200}, () =>
      choose({2: {isLoadUnknown: true}}, {random}),
    );
    const tries = choices.filter(choice => choice?.reason === 'firstTry');
    expect(tries.length).to.be.within(1, 30);
  });

  it('stays in the local data centre when no worker is in time', () => {
    const choice = choose({1: {waitMs: 700}, 2: {waitMs: 600}});
    expect(choice?.reason).to.equal('local');
  });

  it('avoids workers that are failing, leaving or unreachable', () => {
    expect(choose({1: {failureShare: 0.5}})?.worker.id).to.equal('2');
    expect(choose({1: {isLeaving: true}})?.worker.id).to.equal('2');
    const isUnreachable = (worker: MeshWorker) => worker.id === LOCAL.id;
    expect(choose({}, {isUnreachable})?.worker.id).to.equal('2');
  });

  it('guards against choosing a worker that refuses connections', () => {
    expect(choose({1: {isDown: true}})?.worker.id).to.equal('2');
  });

  it('guards against waiting for a worker that no request can reach', () => {
    const isCutOff = (worker: MeshWorker) => worker.id === LOCAL.id;
    expect(choose({}, {isCutOff})?.worker.id).to.equal('2');
    expect(choose({}, {isCutOff: () => true})).to.equal(undefined);
  });

  it('uses a failing worker as a last resort', () => {
    const workers = [LOCAL];
    const choice = choose({1: {failureShare: 0.9}}, {workers});
    expect(choice?.reason).to.equal('lastResort');
  });

  it('tries each worker only once for a request', () => {
    const tried = new Set([LOCAL.id, REMOTE.id]);
    expect(choose({}, {triedWorkerIds: tried})).to.equal(undefined);
  });
});
