import {HopDelays, HopStamps} from '@carobseam/calls.relay';
import {ManualClock} from '@carobseam/core.clock';
import {expect} from 'chai';

const PEER = '10.0.0.7';
const TRAVEL_MS = 2;

/** Two relays whose clocks have nothing in common. */
function createPair() {
  const senderClock = new ManualClock();
  const receiverClock = new ManualClock();
  senderClock.advance(50_000);
  const stamps = {current: new HopStamps(senderClock)};
  const delays = new HopDelays(receiverClock);
  const pass = (durationMs: number) => {
    senderClock.advance(durationMs);
    receiverClock.advance(durationMs);
  };
  /** Sends a hop that is read after it has waited. */
  const send = (waitMs: number) => {
    const stamp = stamps.current.stamp();
    pass(TRAVEL_MS + waitMs);
    return delays.delayOf(PEER, stamp);
  };
  return {senderClock, receiverClock, stamps, delays, pass, send};
}

describe('HopDelays', () => {
  it('guards against missing the time that a hop waited to be read', () => {
    const {send} = createPair();
    expect(send(0)).to.equal(0);
    expect(send(1500)).to.equal(1500);
    expect(send(40)).to.equal(40);
  });

  it('guards against a wait taken from another clock after a restart of the sender', () => {
    const {send, senderClock, stamps} = createPair();
    send(0);
    senderClock.advance(7000);
    stamps.current = new HopStamps(senderClock);
    expect(send(0)).to.equal(0);
    expect(send(300)).to.equal(300);
  });

  it('guards against a wait after the sender was suspended', () => {
    const {send, receiverClock, senderClock} = createPair();
    send(0);
    receiverClock.advance(3000);
    senderClock.shiftWall(3000);
    expect(send(0)).to.equal(0);
  });

  it('guards against a wait after a step of the wall clock', () => {
    const {send, senderClock} = createPair();
    send(0);
    senderClock.shiftWall(-5000);
    expect(send(0)).to.equal(0);
    senderClock.shiftWall(5000);
    expect(send(0)).to.equal(0);
  });

  it('guards against keeping a difference that the clocks have drifted away from', () => {
    const {send, pass, senderClock} = createPair();
    send(0);
    for (let second = 0; second < 20; second++) {
      senderClock.advance(1);
      pass(1000);
      send(0);
    }
    expect(send(0)).to.be.at.most(1);
  });

  it('takes a hop without a stamp or with an odd one as read without a wait', () => {
    const {delays} = createPair();
    for (const stamp of [undefined, '', 'a', ';5', 'a;b', 'a;NaN']) {
      expect(delays.delayOf(PEER, stamp)).to.equal(0);
    }
  });
});
