import {CallerDeadlineTracker} from '@carobseam/calls.relay';
import {ManualClock, SeededRandom} from '@carobseam/core.clock';
import {expect} from 'chai';
import {createRoute} from './route_fixture.js';

const ROUTE = createRoute();

describe('CallerDeadlineTracker', () => {
  it('subtracts the time since the first attempt when a caller retries', () => {
    const tracker = new CallerDeadlineTracker(new ManualClock());
    expect(tracker.estimate(ROUTE, 3000)).to.deep.equal({
      dueInMs: 500,
      isCallerRetry: false,
      isLastCallerAttempt: false,
      canCallerRetry: true,
    });
    expect(tracker.estimate(ROUTE, 2700)).to.deep.include({
      dueInMs: 200,
      isCallerRetry: true,
    });
    expect(tracker.estimate(ROUTE, 1200).isLastCallerAttempt).to.equal(true);
  });

  it('takes the whole deadline as in time for calls of workers', () => {
    const tracker = new CallerDeadlineTracker(new ManualClock());
    const route = {...ROUTE, timeoutMs: 500, targetLatencyMs: 150};
    expect(tracker.estimate(route, 500, true)).to.deep.equal({
      dueInMs: 500,
      isCallerRetry: false,
      isLastCallerAttempt: true,
      canCallerRetry: false,
    });
    expect(tracker.estimate(route, 300, true).dueInMs).to.equal(300);
  });

  it('guards against ignoring the target latency where the timeout is as long as the deadline', () => {
    const tracker = new CallerDeadlineTracker(new ManualClock());
    const route = {...ROUTE, timeoutMs: 800, targetLatencyMs: 200};
    expect(tracker.estimate(route, 800)).to.deep.equal({
      dueInMs: 200,
      isCallerRetry: false,
      isLastCallerAttempt: false,
      canCallerRetry: false,
    });
  });

  it('guards against taking first attempts of less patient callers for retries', () => {
    const tracker = new CallerDeadlineTracker(new ManualClock());
    const random = new SeededRandom(4);
    const firstMs = () => Math.round(3000 * (1 - 0.15 * random.nextFloat()));
    for (let sent = 0; sent < 128; sent++) {
      tracker.estimate(ROUTE, firstMs());
    }
    const estimates = Array.from({length: 200}, () =>
      tracker.estimate(ROUTE, firstMs()),
    );
    const asFirst = estimates.filter(({isCallerRetry}) => !isCallerRetry);
    expect(asFirst.length).to.be.at.least(190);
    expect(asFirst.every(({dueInMs}) => dueInMs === 500)).to.equal(true);
  });

  it('guards against taking retries for first attempts under overload', () => {
    const tracker = new CallerDeadlineTracker(new ManualClock());
    const random = new SeededRandom(5);
    for (let sent = 0; sent < 128; sent++) {
      const isFirst = random.nextFloat() < 0.35;
      tracker.estimate(ROUTE, isFirst ? 3000 : 1200 + random.nextInt(1600));
    }
    expect(tracker.estimate(ROUTE, 2700).isCallerRetry).to.equal(true);
    expect(tracker.estimate(ROUTE, 2700).dueInMs).to.equal(200);
  });

  it('guards against first attempts that look late after callers shortened their deadline', () => {
    const clock = new ManualClock();
    const tracker = new CallerDeadlineTracker(clock);
    tracker.estimate(ROUTE, 9000);
    for (let minute = 0; minute < 3; minute++) {
      clock.advance(61_000);
      tracker.estimate(ROUTE, 3000);
    }
    expect(tracker.estimate(ROUTE, 3000).dueInMs).to.equal(500);
  });
});
