import {
  encodeFirstInterim,
  hopTimesFrom,
  hopTimesOf,
} from '@carobseam/calls.relay';
import {expect} from 'chai';

describe('hopTimesOf', () => {
  it('guards against noticing a silent hop only after a short request is late', () => {
    const silentMs = [60, 200, 500, 10_000].map(
      targetMs => hopTimesOf(targetMs).silentMs,
    );
    expect(silentMs).to.deep.equal([120, 240, 600, 600]);
  });

  it('guards against a sender that expects interim responses sooner than they come', () => {
    for (const targetMs of [1, 60, 150, 200, 333, 500, 1200]) {
      const sender = hopTimesOf(targetMs);
      const header = encodeFirstInterim(sender.firstInterimMs)[1];
      const receiver = hopTimesFrom(header ? Number(header) : undefined);
      expect(
        receiver.firstInterimMs + 2 * receiver.interimIntervalMs,
      ).to.be.below(sender.silentMs);
    }
  });
});
