import {RateLimiter} from '@carobseam/calls.worker_queue';
import {ManualClock, SeededRandom} from '@carobseam/core.clock';
import {expect} from 'chai';

function createLimiter(perS?: number) {
  const clock = new ManualClock();
  const limiter = new RateLimiter(clock);
  limiter.setLimit(perS);
  return {clock, limiter};
}

/** Counts how many requests may start now. */
function drainOf(limiter: RateLimiter): number {
  let count = 0;
  while (limiter.take()) {
    count++;
  }
  return count;
}

describe('RateLimiter', () => {
  it('lets every request start without a limit', () => {
    const {limiter} = createLimiter();
    expect(limiter.take()).to.equal(true);
    expect(limiter.delayMs(1000)).to.equal(0);
    expect(limiter.limit).to.equal(undefined);
  });

  it('guards against a burst at the moment at which a limit is stated', () => {
    const {limiter} = createLimiter(40);
    expect(drainOf(limiter)).to.equal(0);
    expect(limiter.delayMs(0)).to.equal(25);
    expect(limiter.delayMs(3)).to.equal(100);
  });

  for (const perS of [0.5, 3.8, 7, 45.2, 130]) {
    it(`guards against more than one and a half times ${perS} a second and 5 requests in any 4 s`, () => {
      const {clock, limiter} = createLimiter(perS);
      const random = new SeededRandom(7);
      const starts: number[] = [];
      while (clock.monotonicMs() < 60_000) {
        clock.advance(random.nextFloat() < 0.02 ? 900 : 5);
        for (let count = drainOf(limiter); count > 0; count--) {
          starts.push(clock.monotonicMs());
        }
      }
      const inWindow = starts.map(
        endMs =>
          starts.filter(startMs => startMs > endMs - 4000 && startMs <= endMs)
            .length,
      );
      expect(Math.max(...inWindow)).to.be.at.most(1.5 * perS * 4 + 5);
      const expected = perS > 1 ? perS * 60 * 0.9 : perS * 60 * 0.8; // a bucket of one overflows in pauses
      expect(starts.length).to.be.at.least(expected);
    });
  }

  it('guards against a lower limit that starts with the burst of the higher one', () => {
    const {clock, limiter} = createLimiter(100);
    clock.advance(2000);
    limiter.setLimit(10);
    expect(drainOf(limiter)).to.equal(10);
  });

  it('guards against a worker that is never asked again after it stated 0', () => {
    const {clock, limiter} = createLimiter(0);
    clock.advance(10_000);
    expect(drainOf(limiter)).to.equal(1);
  });

  it('guards against a limit that stays after it was lifted', () => {
    const {limiter} = createLimiter(1);
    limiter.setLimit(undefined);
    expect(limiter.take()).to.equal(true);
    expect(limiter.delayMs(50)).to.equal(0);
  });
});
