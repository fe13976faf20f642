import {
  isDepthAllowed,
  parseIntegerHeader,
  forwardedDeadlineMs,
  RetryDecider,
  type FailedAttempt,
} from '@carobseam/calls.retries';
import {ManualClock} from '@carobseam/core.clock';
import {Metrics} from '@carobseam/core.metrics';
import {makePolicy} from '@carobseam/testing.fixtures';
import {expect} from 'chai';

describe('RetryDecider', () => {
  const policy = makePolicy();
  let clock: ManualClock;
  let metrics: Metrics;
  let decider: RetryDecider;

  beforeEach(() => {
    clock = new ManualClock();
    metrics = new Metrics();
    decider = new RetryDecider({clock, metrics});
  });

  function decide(fields: Partial<FailedAttempt> = {}): boolean {
    return decider.decide({
      reason: 'worker_failed',
      retryCount: 0,
      repeatable: true,
      policy,
      deadlineMs: clock.monotonicMs() + 1000,
      retriedBefore: false,
      isBodyBuffered: true,
      ...fields,
    });
  }

  it('does not retry a call that is not repeatable and may have run', () => {
    expect(decide({repeatable: false})).to.equal(false);
    expect(decide({repeatable: false, reason: 'worker_down'})).to.equal(true);
  });

  it('guards against multiplying retries along a chain of services', () => {
    expect(decide({retriedBefore: true})).to.equal(false);
  });

  it('retries at most twice and not beyond the deadline', () => {
    expect(decide({retryCount: 1})).to.equal(true);
    expect(decide({retryCount: 2})).to.equal(false);
    expect(decide({deadlineMs: clock.monotonicMs()})).to.equal(false);
  });

  it('does not retry a call whose body was streamed', () => {
    expect(decide({isBodyBuffered: false})).to.equal(false);
  });

  it('does not retry a call that every worker would refuse for the same reason', () => {
    expect(decide({reason: 'crash_suspect'})).to.equal(false);
  });

  it('limits retries to 10% of recent calls, so that retries cannot sustain an overload', async () => {
    for (let call = 0; call < 1000; call++) {
      decider.countCall(policy);
    }
    const retried = Array.from({length: 1000}, () => decide());
    expect(retried.filter(Boolean)).to.have.length(100);
    const refused = await metrics.total('carobseam_retries_refused_total', {
      reason: 'budget',
    });
    expect(refused).to.equal(900);
    expect(await metrics.total('carobseam_retries_total')).to.equal(100);
  });

  it('ignores calls older than 10 s', () => {
    for (let call = 0; call < 1000; call++) {
      decider.countCall(policy);
    }
    clock.advance(11_000);
    const retried = Array.from({length: 100}, () => decide());
    expect(retried.filter(Boolean)).to.have.length(3);
  });
});

describe('deadline headers', () => {
  it('guards against parsing a prefix of a malformed number', () => {
    expect(parseIntegerHeader('12')).to.equal(12);
    expect(parseIntegerHeader('12ms')).to.deep.equal(NaN);
    expect(parseIntegerHeader('-1')).to.deep.equal(NaN);
    expect(parseIntegerHeader(undefined)).to.equal(undefined);
  });

  it('forwards a deadline that is shorter than the remaining time and never zero', () => {
    expect(forwardedDeadlineMs(1000)).to.equal(980);
    expect(forwardedDeadlineMs(0)).to.equal(1);
  });

  it('limits the depth of a call to ten services, which ends loops', () => {
    expect(isDepthAllowed(9)).to.equal(true);
    expect(isDepthAllowed(10)).to.equal(false);
  });
});
