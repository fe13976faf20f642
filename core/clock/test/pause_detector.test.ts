import {expect} from 'chai';
import {ManualClock, PauseDetector} from '@carobseam/core.clock';

describe('PauseDetector', () => {
  it('guards against missing a pause when data arrives before the timer runs', async () => {
    const clock = new ManualClock();
    const detector = new PauseDetector({clock});
    await detector.start();
    clock.advance(500);
    clock.jump(5000);
    expect(detector.check()?.durationMs).to.be.at.least(5000);
    expect(detector.check()).to.equal(undefined);
  });

  it('guards against reporting a pause of a running process', async () => {
    const clock = new ManualClock();
    const detector = new PauseDetector({clock});
    let pauses = 0;
    detector.onPause(() => pauses++);
    await detector.start();
    clock.advance(10_000);
    expect(pauses).to.equal(0);
  });
});
