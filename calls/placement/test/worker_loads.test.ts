import {chooseWorker, WorkerLoads} from '@carobseam/calls.placement';
import type {WorkerLoad} from '@carobseam/calls.worker_queue';
import type {MeshWorker, WorkerId} from '@carobseam/config.mesh';
import {ManualClock, SeededRandom} from '@carobseam/core.clock';
import type {DataCentreName} from '@carobseam/core.types';
import {expect} from 'chai';

const WORKER = {
  id: 'i-1' as WorkerId,
  dataCentre: 'wien' as DataCentreName,
  coldRemainingMs: 0,
  slots: 4,
  isLeaving: false,
} as MeshWorker;
const EXPIRED_MS = 2500; // longer than a report is used

const OVERLOADED: WorkerLoad = {
  running: 4,
  slots: 4,
  queued: [6, 0, 0, 0, 0],
  meanServiceMs: 1500,
  serviceMs: [1500, 0, 0, 0, 0],
  failureShare: 0,
  isLeaving: false,
};
const IDLE: WorkerLoad = {
  ...OVERLOADED,
  running: 0,
  queued: [0, 0, 0, 0, 0],
  meanServiceMs: 100,
  serviceMs: [100, 0, 0, 0, 0],
};

function reportedLoads(clock: ManualClock, report: WorkerLoad): WorkerLoads {
  const loads = new WorkerLoads(clock);
  loads.recordReport(WORKER.id, report);
  return loads;
}

/** Counts the requests of 200 that are sent to the worker beside an idle one. */
function countChosen(loads: WorkerLoads): number {
  const idle = {...WORKER, id: 'i-2' as WorkerId};
  loads.recordReport(idle.id, IDLE);
  const random = new SeededRandom(11);
  const chosen = Array.from({length: 200}, () =>
    chooseWorker({
      workers: [WORKER, idle],
      dataCentre: 'wien' as DataCentreName,
      dueInMs: 500,
      targetLatencyMs: 500,
      estimate: worker => loads.estimate(worker, 0),
      isUnreachable: () => false,
      triedWorkerIds: new Set(),
      random,
    }),
  );
  return chosen.filter(choice => choice?.worker.id === WORKER.id).length;
}

describe('WorkerLoads', () => {
  it('guards against taking an overloaded worker for an idle one once its report has expired', () => {
    const clock = new ManualClock();
    const loads = reportedLoads(clock, OVERLOADED);
    clock.advance(EXPIRED_MS);
    const {serviceMs} = loads.estimate(WORKER, 0);
    expect(serviceMs).to.be.at.least(1500);
  });

  it('guards against using the worker of a draining relay again once its report has expired', () => {
    const clock = new ManualClock();
    const loads = reportedLoads(clock, {...IDLE, isLeaving: true});
    clock.advance(EXPIRED_MS);
    expect(loads.estimate(WORKER, 0).isLeaving).to.equal(true);
  });

  it('guards against taking a full queue for an empty one once its report has expired', () => {
    const clock = new ManualClock();
    const loads = reportedLoads(clock, OVERLOADED);
    clock.advance(EXPIRED_MS);
    expect(loads.estimate(WORKER, 0).waitMs).to.be.above(0);
  });

  it('expects no wait at a worker that was idle when last seen', () => {
    const clock = new ManualClock();
    const loads = reportedLoads(clock, IDLE);
    clock.advance(EXPIRED_MS);
    expect(loads.estimate(WORKER, 0)).to.deep.include({
      waitMs: 0,
      serviceMs: 100,
      isLoadUnknown: false,
    });
  });

  const avoided: Record<string, WorkerLoad> = {
    overloaded: OVERLOADED,
    failing: {...IDLE, failureShare: 0.9},
    leaving: {...IDLE, isLeaving: true},
  };
  for (const [name, report] of Object.entries(avoided)) {
    it(`guards against never using a worker again that was ${name} when last seen`, () => {
      const clock = new ManualClock();
      const loads = reportedLoads(clock, report);
      expect(countChosen(loads)).to.equal(0);
      clock.advance(EXPIRED_MS);
      expect(countChosen(loads)).to.be.within(1, 20);
      loads.recordAttemptStart(WORKER.id);
      expect(countChosen(loads), 'while a request is in flight').to.equal(0);
      loads.recordReport(WORKER.id, IDLE);
      loads.recordAttemptEnd(WORKER.id);
      expect(countChosen(loads)).to.be.above(50);
    });
  }

  it('guards against avoiding a worker after its entry was written again', () => {
    const loads = reportedLoads(new ManualClock(), {...IDLE, isLeaving: true});
    loads.recordEntryWritten(WORKER.id);
    expect(loads.estimate(WORKER, 0).isLeaving).to.equal(false);
  });

  it('guards against trying a worker whose entry says that it is leaving', () => {
    const loads = new WorkerLoads(new ManualClock());
    const leaving = {...WORKER, isLeaving: true};
    expect(loads.estimate(leaving, 0).isLoadUnknown).to.equal(false);
  });
});
