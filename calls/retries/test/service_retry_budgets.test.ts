import {ServiceRetryBudgets} from '@carobseam/calls.retries';
import {ManualClock, SeededRandom} from '@carobseam/core.clock';
import type {ServiceName} from '@carobseam/core.types';
import {expect} from 'chai';

const RATIO = 0.2;
const SLACK = 64;
const RELAYS = 12;
const WINDOW_MS = 10_000;
const STEP_MS = 10;
const CALLS_PER_RUN = 1.4;
const FRONT = 'front' as ServiceName;
const BACK = 'back' as ServiceName;

interface Arrivals {
  atMs: number;
  requests: number;
  repeats: number;
}

/** Every first attempt fails, so each relay repeats all it may. */
function playStorm(seed: number): Arrivals[] {
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
    const step = {atMs, requests: 0, repeats: 0};
    const sendBack = (isOfRepeat: boolean) => {
      const relay = relays[random.nextInt(RELAYS)]!;
      relay.countCall(BACK);
      step.requests++;
      step.repeats += isOfRepeat ? 1 : 0;
      step.repeats += relay.take(BACK) ? 1 : 0;
    };
    const callBack = (isOfRepeat: boolean) => {
      const calls = random.nextFloat() < CALLS_PER_RUN - 1 ? 2 : 1;
      for (let call = 0; call < calls; call++) {
        sendBack(isOfRepeat);
      }
    };
    // 400 requests a second to the front service, 160 to the one behind it.
    for (let count = 0; count < 4; count++) {
      const relay = relays[random.nextInt(RELAYS)]!;
      relay.countCall(FRONT);
      callBack(false);
      if (relay.take(FRONT)) {
        callBack(true);
      }
    }
    if (random.nextFloat() < 0.8) {
      sendBack(false);
      sendBack(false);
    }
    arrivals.push(step);
    clock.advance(STEP_MS);
  }
  return arrivals;
}

describe('RepeatBudgets', () => {
  for (const seed of [1, 2, 3]) {
    it(`keeps a called service within its budget in every window, seed ${seed}`, () => {
      const arrivals = playStorm(seed);
      const steps = WINDOW_MS / STEP_MS;
      for (let from = 0; from + steps <= arrivals.length; from += 50) {
        const window = arrivals.slice(from, from + steps);
        const sum = (pick: (step: Arrivals) => number) =>
          window.reduce((total, step) => total + pick(step), 0);
        const allowed = RATIO * sum(step => step.requests) + SLACK;
        expect(sum(step => step.repeats)).to.be.at.most(allowed);
      }
    });
  }

  it('guards against relays that each spend the whole slack', () => {
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
