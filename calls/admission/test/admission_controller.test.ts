import {
  AdmissionController,
  AdmissionTicket,
  type AdmissionRefusal,
} from '@carobseam/calls.admission';
import type {OperationClass} from '@carobseam/config.types';
import {ManualClock, SeededRandom} from '@carobseam/core.clock';
import {Metrics} from '@carobseam/core.metrics';
import {expect} from 'chai';

interface TestCall {
  ticket: AdmissionTicket;
  started: boolean;
  refusal?: AdmissionRefusal;
}

interface CallFields {
  operationClass?: OperationClass;
  timeoutMs?: number;
  queueLength?: number;
  onStart?: (call: TestCall) => void;
}

describe('AdmissionController', () => {
  let clock: ManualClock;
  let admission: AdmissionController;

  beforeEach(() => {
    clock = new ManualClock();
    admission = new AdmissionController({clock, metrics: new Metrics()});
    admission.setCapacity({slots: 8, connections: 100, rampMs: 1000});
    clock.advance(1000);
  });

  function enter(fields: CallFields = {}): TestCall {
    const call: TestCall = {
      started: false,
      ticket: new AdmissionTicket({
        operationClass: fields.operationClass ?? 'interactive',
        deadlineMs: clock.monotonicMs() + (fields.timeoutMs ?? 1000),
        queueLength: fields.queueLength ?? 100,
        onStarted: () => {
          call.started = true;
          fields.onStart?.(call);
        },
        onRefused: reason => (call.refusal = reason),
      }),
    };
    admission.submit(call.ticket);
    return call;
  }

  function enterMany(count: number, fields: CallFields = {}): TestCall[] {
    return Array.from({length: count}, () => enter(fields));
  }

  it('does not run more calls than the worker has slots', () => {
    const calls = enterMany(10);
    expect(calls.filter(call => call.started)).to.have.length(8);
    expect(admission.load()).to.deep.equal({running: 8, queued: 2, slots: 8});
  });

  it('refuses a call at once when the queue is full', () => {
    enterMany(8);
    const queued = enter({queueLength: 1});
    const refused = enter({queueLength: 1});
    expect(queued.refusal).to.equal(undefined);
    expect(refused.refusal).to.equal('queue_full');
  });

  it('refuses a call at once when its expected wait exceeds its deadline', () => {
    const first = enterMany(8);
    clock.advance(200);
    first.forEach(call => admission.release(call.ticket, true));
    enterMany(16);
    expect(enter({timeoutMs: 300}).refusal).to.equal('deadline_too_short');
    expect(enter({timeoutMs: 900}).refusal).to.equal(undefined);
  });

  it('refuses a queued call at its deadline, not when a slot is free', () => {
    enterMany(8);
    const queued = enter({timeoutMs: 50});
    clock.advance(50);
    expect(queued.refusal).to.equal('deadline_exceeded');
    expect(admission.load().queued).to.equal(0);
  });

  it('removes a cancelled call from the queue at once', () => {
    const running = enterMany(8);
    const cancelled = enter();
    const next = enter();
    admission.release(cancelled.ticket, false);
    admission.release(running[0]!.ticket, true);
    expect(cancelled.started).to.equal(false);
    expect(next.started).to.equal(true);
  });

  it('starts interactive calls first without starving deferrable ones', () => {
    let running = enterMany(8);
    const order: string[] = [];
    const started: TestCall[] = [];
    const onStart = (name: string) => (call: TestCall) => {
      order.push(name);
      started.push(call);
    };
    enterMany(4, {
      operationClass: 'deferrable',
      timeoutMs: 60_000,
      onStart: onStart('deferrable'),
    });
    enterMany(40, {timeoutMs: 60_000, onStart: onStart('interactive')});
    while (order.length < 16) {
      running.forEach(call => admission.release(call.ticket, false));
      running = started.splice(0);
    }
    expect(order.indexOf('deferrable')).to.equal(7);
    expect(order.slice(0, 16).filter(n => n === 'deferrable')).to.have.length(
      2,
    );
  });

  it('increases the slots of a recovered worker gradually', () => {
    admission.markWorkerDown();
    const probe = enter();
    expect(enter().refusal).to.equal('worker_down');
    admission.markWorkerUp();
    admission.release(probe.ticket, true);
    expect(admission.load().slots).to.equal(1);
    clock.advance(500);
    expect(admission.load().slots).to.equal(4);
    clock.advance(500);
    expect(admission.load().slots).to.equal(8);
  });

  it('starts queued calls as the ramp adds slots, without other events', () => {
    admission.markWorkerDown();
    const probe = enter();
    admission.markWorkerUp();
    const queued = enterMany(3, {timeoutMs: 5000});
    clock.advance(1000);
    expect(probe.started).to.equal(true);
    expect(queued.every(call => call.started)).to.equal(true);
  });

  it('uses fewer slots for some time after the worker shed load', () => {
    enterMany(8);
    admission.recordWorkerShed();
    expect(admission.load().slots).to.equal(7);
    clock.advance(2000);
    expect(admission.load().slots).to.equal(8);
  });

  it('refuses expired calls after a pause, before any timer runs', () => {
    enterMany(8);
    const queued = enter({timeoutMs: 500});
    clock.jump(5000);
    admission.recheck();
    expect(queued.refusal).to.equal('deadline_exceeded');
    expect(queued.started).to.equal(false);
  });

  it('keeps goodput at 90% of capacity under twice as much load', () => {
    const random = new SeededRandom(7);
    const meanServiceMs = 20;
    const durationMs = 20_000;
    let completed = 0;
    const run = (call: TestCall): void => {
      const serviceMs = meanServiceMs * (0.5 + random.nextFloat());
      const {deadlineMs} = call.ticket.call;
      const endMs = Math.min(clock.monotonicMs() + serviceMs, deadlineMs);
      clock.setTimer(endMs - clock.monotonicMs(), () => {
        completed += endMs < deadlineMs ? 1 : 0;
        admission.release(call.ticket, true);
      });
    };
    const capacity = (8 / meanServiceMs) * durationMs;
    for (let sentMs = 0; sentMs < durationMs; sentMs++) {
      const arrivals = random.nextFloat() < 0.8 ? 1 : 0;
      enterMany(arrivals, {timeoutMs: 100, onStart: run});
      clock.advance(1);
    }
    expect(completed / capacity).to.be.at.least(0.9);
  });
});
