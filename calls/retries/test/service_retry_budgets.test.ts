import {ServiceRetryBudgets} from '@carobseam/calls.retries';
import {ManualClock, SeededRandom} from '@carobseam/core.clock';
import type {ServiceName} from '@carobseam/core.types';
import {expect} from 'chai';

const RATIO = 0.2;
const SLACK = 64;
const RELAYS = 12;
const WINDOW_MS = 10_000;
const STEP_MS = 10;
const CALLS_PER_REQUEST = 1.4;
const FRONT = 'front' as ServiceName;
const BACK = 'back' as ServiceName;

interface Arrivals {
  atMs: number;
  requests: number;
  retries: number;
}

/**
 * Simulates a retry storm: every first attempt fails, and each relay makes all
 * allowed retries.
 */
function simulateRetryStorm(seed: number): Arrivals[] {
  const clock = new ManualClock();
  const random = new SeededRandom(seed);
  const relays = Array.from(
    {length: RELAYS},
    () =>
      new ServiceRetryBudgets({
        clock,
        ratio: RATIO,
        slack: SLACK,
        relayCount: () => RELAYS,
      }),
  );
  const arrivals: Arrivals[] = [];
  for (let atMs = 0; atMs < 30_000; atMs += STEP_MS) {
    const step = {atMs, requests: 0, retries: 0};
    const sendToBack = (isRetry: boolean) => {
      const relay = relays[random.nextInt(RELAYS)]!;
      relay.countCall(BACK);
      step.requests++;
      step.retries += isRetry ? 1 : 0;
      step.retries += relay.take(BACK) ? 1 : 0;
    };
    const callBackService = (isRetry: boolean) => {
      const calls = random.nextFloat() < CALLS_PER_REQUEST - 1 ? 2 : 1;
      for (let call = 0; call < calls; call++) {
        sendToBack(isRetry);
      }
    };
    // 400 requests per second to the front service, and 160 directly to the
    // back service.
    for (let count = 0; count < 4; count++) {
      const relay = relays[random.nextInt(RELAYS)]!;
      relay.countCall(FRONT);
      callBackService(false);
      if (relay.take(FRONT)) {
        callBackService(true);
      }
    }
    if (random.nextFloat() < 0.8) {
      sendToBack(false);
      sendToBack(false);
    }
    arrivals.push(step);
    clock.advance(STEP_MS);
  }
  return arrivals;
}

describe('ServiceRetryBudgets', () => {
  for (const seed of [1, 2, 3]) {
    it(`keeps the retries at a called service within its budget in every window, seed ${seed}`, () => {
      const arrivals = simulateRetryStorm(seed);
      const steps = WINDOW_MS / STEP_MS;
      for (let from = 0; from + steps <= arrivals.length; from += 50) {
        const window = arrivals.slice(from, from + steps);
        const sum = (pick: (step: Arrivals) => number) =>
          window.reduce((total, step) => total + pick(step), 0);
        const allowed = RATIO * sum(step => step.requests) + SLACK;
        expect(sum(step => step.retries)).to.be.at.most(allowed);
      }
    });
  }

  it('guards against each relay using the whole slack', () => {
    const clock = new ManualClock();
    let taken = 0;
    for (let relay = 0; relay < RELAYS; relay++) {
      const budgets = new ServiceRetryBudgets({
        clock,
        ratio: RATIO,
        slack: SLACK,
        relayCount: () => RELAYS,
      });
      while (budgets.take(BACK)) {
        taken++;
      }
    }
    expect(taken).to.be.at.most(SLACK);
  });
});
