import {WorkerLoads} from '@carobseam/calls.placement';
import type {WorkerLoad} from '@carobseam/calls.worker_queue';
import type {MeshWorker, WorkerId} from '@carobseam/config.mesh';
import {ManualClock} from '@carobseam/core.clock';
import type {DataCentreName, ServiceName} from '@carobseam/core.types';
import {expect} from 'chai';

const DRAIN_MS = 2000;
const CLASS = 1;
const GUESSED_MS = 200;

function createWorker(bornMs = 1): MeshWorker {
  return {
    id: 'i-1' as WorkerId,
    service: 'desk' as ServiceName,
    address: '10.0.0.1:8000',
    dataCentre: 'wien' as DataCentreName,
    slots: 12,
    isLeaving: false,
    coldRemainingMs: 0,
    bornMs,
  };
}

function createReport(overrides: Partial<WorkerLoad> = {}): WorkerLoad {
  return {
    running: 1,
    queued: [0, 0, 0, 0, 0],
    slots: 12,
    serviceMs: [0, 0, 0, 0, 0],
    meanServiceMs: 100,
    failureShare: 0,
    isLeaving: false,
    ...overrides,
  };
}

function createLoads() {
  const clock = new ManualClock();
  const loads = new WorkerLoads(clock, DRAIN_MS);
  return {clock, loads, worker: createWorker()};
}

describe('WorkerLoads', () => {
  it('guards against a limited worker that looks idle', () => {
    const {loads, worker} = createLoads();
    const rateLimit = {perS: 5, available: 0};
    loads.recordReport(worker.id, createReport({rateLimit}));
    expect(loads.estimate(worker, CLASS, GUESSED_MS).waitMs).to.equal(200);
    loads.recordAttemptStart(worker.id);
    loads.recordAttemptEnd(worker.id);
    expect(loads.estimate(worker, CLASS, GUESSED_MS).waitMs).to.equal(400);
  });

  it('guards against a queue at a limited worker that the estimate leaves out', () => {
    const {loads, worker} = createLoads();
    const queued = [1, 1, 4, 0, 0];
    const rateLimit = {perS: 10, available: 0.5};
    loads.recordReport(worker.id, createReport({queued, rateLimit}));
    expect(loads.estimate(worker, CLASS, GUESSED_MS).waitMs).to.equal(250);
  });

  it('guards against forgetting a limit while a restarted relay does not know it', () => {
    const {clock, loads, worker} = createLoads();
    const rateLimit = {perS: 5, available: 0};
    loads.recordReport(worker.id, createReport({rateLimit}));
    clock.advance(30_000);
    expect(loads.knownRateLimitPerS(worker.id)).to.equal(5);
    loads.recordReport(worker.id, createReport());
    expect(loads.knownRateLimitPerS(worker.id)).to.equal(undefined);
  });

  it('guards against avoiding a worker that is back after a crash', () => {
    const {clock, loads, worker} = createLoads();
    const isDown = () => loads.estimate(worker, CLASS, GUESSED_MS).isDown;
    loads.recordDown(worker.id);
    expect(isDown()).to.equal(true);
    loads.recordUp(worker.id);
    expect(isDown()).to.equal(false);
    loads.recordDown(worker.id);
    clock.advance(500);
    expect(isDown()).to.equal(false);
  });

  it('guards against requests to a worker that has said that it leaves', () => {
    const {clock, loads, worker} = createLoads();
    loads.markLeaving(worker);
    expect(loads.estimate(worker, CLASS, GUESSED_MS).isLeaving).to.equal(true);
    expect(loads.hasLeft(worker)).to.equal(false);
    clock.advance(DRAIN_MS * 0.2);
    loads.markLeaving(worker);
    expect(loads.hasLeft(worker)).to.equal(true);
  });

  it('guards against forgetting a leaving worker whose entry lapses and returns', () => {
    const {clock, loads, worker} = createLoads();
    loads.markLeaving(worker);
    loads.remove(worker.id);
    clock.advance(5000);
    expect(loads.hasLeft(worker)).to.equal(true);
  });

  it('guards against avoiding a worker that has started again', () => {
    const {clock, loads, worker} = createLoads();
    loads.markLeaving(worker);
    clock.advance(5000);
    const restarted = createWorker(worker.bornMs + 1);
    expect(loads.hasLeft(restarted)).to.equal(false);
    expect(loads.estimate(restarted, CLASS, GUESSED_MS).isLeaving).to.equal(
      false,
    );
  });

  it('guards against keeping the marks of workers that are long gone', () => {
    const {clock, loads, worker} = createLoads();
    loads.markLeaving(worker);
    loads.remove(worker.id);
    clock.advance(61_000);
    loads.remove('i-2' as WorkerId);
    expect(loads.hasLeft(worker)).to.equal(false);
  });
});
