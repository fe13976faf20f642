import {CallerDeadlineTracker} from '@carobseam/calls.relay';
import {ManualClock} from '@carobseam/core.clock';
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

  it('takes the whole deadline as in time for callers that cannot retry', () => {
    const tracker = new CallerDeadlineTracker(new ManualClock());
    const route = {...ROUTE, timeoutMs: 500, targetLatencyMs: 150};
    expect(tracker.estimate(route, 500)).to.deep.equal({
      dueInMs: 500,
      isCallerRetry: false,
      isLastCallerAttempt: true,
      canCallerRetry: false,
    });
    expect(tracker.estimate(route, 300).dueInMs).to.equal(300);
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
