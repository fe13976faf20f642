import {CallerDeadlineTracker} from '@carobseam/calls.relay';
import {ManualClock} from '@carobseam/core.clock';
import {expect} from 'chai';
import {createRoute} from './route_fixture.js';

const ROUTE = createRoute();

describe('CallerPatience', () => {
  it('counts the time since the first attempt of a returning caller', () => {
    const patience = new CallerDeadlineTracker(new ManualClock());
    expect(patience.of(ROUTE, 3000)).to.deep.equal({
      dueInMs: 500,
      hasReturned: false,
      isLastChance: false,
    });
    expect(patience.of(ROUTE, 2700)).to.deep.include({
      dueInMs: 200,
      hasReturned: true,
    });
    expect(patience.of(ROUTE, 1200).isLastChance).to.equal(true);
  });

  it('takes callers that cannot return as in time until they leave', () => {
    const patience = new CallerDeadlineTracker(new ManualClock());
    const route = {...ROUTE, timeoutMs: 500, targetLatencyMs: 150};
    expect(patience.of(route, 500)).to.deep.equal({
      dueInMs: 500,
      hasReturned: false,
      isLastChance: true,
    });
    expect(patience.of(route, 300).dueInMs).to.equal(300);
  });

  it('guards against callers who became less patient looking late for good', () => {
    const clock = new ManualClock();
    const patience = new CallerDeadlineTracker(clock);
    patience.of(ROUTE, 9000);
    for (let minute = 0; minute < 3; minute++) {
      clock.advance(61_000);
      patience.of(ROUTE, 3000);
    }
    expect(patience.of(ROUTE, 3000).dueInMs).to.equal(500);
  });
});
