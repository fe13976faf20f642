import {
  decideNextStep,
  retryDenialOf,
  type RetryDenial,
  type StepInputs,
} from '@carobseam/calls.placement';
import {expect} from 'chai';

function decide(overrides: Partial<StepInputs>): string {
  return decideNextStep({
    outcome: 'answered',
    isIdempotent: true,
    canResend: true,
    sentAttempts: 1,
    maxAttempts: 2,
    mayHaveRun: false,
    unsentAttempts: 0,
    expiresInMs: 1000,
    takeRetry: () => true,
    ...overrides,
  });
}

describe('decideNextStep', () => {
  const cases: Array<[string, Partial<StepInputs>, string]> = [
    ['delivers a response', {}, 'deliver'],
    ['retries a failed idempotent request', {outcome: 'failed'}, 'sendAgain'],
    [
      'delivers the failure of a request that is not idempotent',
      {outcome: 'failed', isIdempotent: false},
      'deliver',
    ],
    [
      'never retries a request that is not idempotent and may have run',
      {outcome: 'unknown', isIdempotent: false},
      'reportUnknown',
    ],
    [
      'retries a rejected request that is not idempotent',
      {outcome: 'rejected', isIdempotent: false},
      'sendAgain',
    ],
    [
      'refuses a rejected request when the retry budget is exhausted',
      {outcome: 'rejected', takeRetry: () => false},
      'refuse',
    ],
    [
      'makes no more attempts than the route allows',
      {outcome: 'unknown', sentAttempts: 2},
      'reportUnknown',
    ],
    [
      'never refuses with the guarantee that nothing ran after an attempt that may have run',
      {outcome: 'notSent', mayHaveRun: true, unsentAttempts: 9},
      'reportUnknown',
    ],
    [
      'refuses after three full workers',
      {outcome: 'notSent', unsentAttempts: 3},
      'refuse',
    ],
    [
      'refuses when no time is left',
      {outcome: 'notSent', expiresInMs: 10},
      'refuse',
    ],
    [
      'guards against sending a consumed body to a second worker after a refusal',
      {outcome: 'notSent', canResend: false},
      'refuse',
    ],
    [
      'guards against sending a consumed body to a second worker after a rejection',
      {outcome: 'rejected', canResend: false},
      'refuse',
    ],
    [
      'never sends a consumed body again after a failure',
      {outcome: 'failed', canResend: false},
      'deliver',
    ],
    [
      'reports an unknown outcome of a consumed body as unknown',
      {outcome: 'unknown', canResend: false},
      'reportUnknown',
    ],
  ];
  for (const [name, inputs, expected] of cases) {
    it(name, () => expect(decide(inputs)).to.equal(expected));
  }

  it('takes no retry from the budget after an attempt that did not reach a worker', () => {
    const takeRepeat = () => {
      throw new Error('the retry budget was used');
    };
    expect(decide({outcome: 'notSent', takeRetry: takeRepeat})).to.equal(
      'sendAgain',
    );
  });
});

describe('retryDenialOf', () => {
  const inputs = {
    outcome: 'unknown',
    isIdempotent: true,
    canResend: true,
    sentAttempts: 1,
    maxAttempts: 2,
    mayHaveRun: false,
    unsentAttempts: 0,
    expiresInMs: 1000,
  } as const;
  const cases: Array<[Partial<StepInputs>, RetryDenial]> = [
    [{}, 'budget'],
    [{isIdempotent: false}, 'notIdempotent'],
    [{outcome: 'rejected', isIdempotent: false}, 'budget'],
    [{canResend: false}, 'bodyConsumed'],
    [{outcome: 'notSent', canResend: false}, 'bodyConsumed'],
    [{sentAttempts: 2}, 'attempts'],
    [{outcome: 'notSent', unsentAttempts: 3}, 'attempts'],
    [{outcome: 'notSent', expiresInMs: 10}, 'time'],
    [{expiresInMs: 10}, 'time'],
  ];
  for (const [overrides, expected] of cases) {
    it(`says ${expected} after ${JSON.stringify(overrides)}`, () => {
      expect(retryDenialOf({...inputs, ...overrides})).to.equal(expected);
    });
  }
});
