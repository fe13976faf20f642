import {expect} from 'chai';
import {ManualClock} from '@carobseam/core.clock';
import {DatagramAuthenticator} from '@carobseam/fleet.datagram';

const OLD = {id: 'k1', secret: 'old-shared-secret'};
const NEW = {id: 'k2', secret: 'new-shared-secret'};
const AUDIENCE = '10.0.0.1:7101';
const PAYLOAD = Buffer.from('payload');

function setUp(keys = [OLD]) {
  const clock = new ManualClock();
  const sealer = new DatagramAuthenticator({keys, audience: AUDIENCE, clock});
  const bytes = sealer.sign(PAYLOAD, AUDIENCE);
  return {clock, sealer, bytes};
}

function reason(sealer: DatagramAuthenticator, bytes: Buffer): string {
  const opened = sealer.verify(bytes);
  return opened.valid ? 'valid' : opened.reason;
}

describe('DatagramSealer', () => {
  it('guards against a forged datagram', () => {
    const {sealer, bytes} = setUp();
    for (let at = 0; at < bytes.length; at++) {
      const forged = Buffer.from(bytes);
      forged[at] = forged[at]! ^ 1;
      expect(reason(sealer, forged)).to.equal('unauthenticated');
    }
    expect(reason(sealer, bytes.subarray(0, 10))).to.equal('malformed');
  });

  it('guards against a replayed datagram', () => {
    const {clock, sealer, bytes} = setUp();
    expect(reason(sealer, bytes)).to.equal('valid');
    for (let step = 0; step < 30; step++) {
      expect(reason(sealer, bytes)).to.equal('replayed');
      clock.advance(1000);
    }
    clock.advance(1);
    expect(reason(sealer, bytes)).to.equal('expired');
  });

  it('guards against a datagram replayed to another daemon', () => {
    const {clock, bytes} = setUp();
    const audience = '10.0.0.2:7101';
    const other = new DatagramAuthenticator({keys: [OLD], audience, clock});
    expect(reason(other, bytes)).to.equal('unauthenticated');
  });

  it('guards against a key rotation that cuts daemons off', () => {
    const {clock, sealer, bytes} = setUp();
    const peer = new DatagramAuthenticator({
      keys: [NEW, OLD],
      audience: AUDIENCE,
      clock,
    });
    expect(reason(peer, bytes)).to.equal('valid');
    sealer.setKeys([OLD, NEW]);
    expect(reason(sealer, peer.sign(PAYLOAD, AUDIENCE))).to.equal('valid');
    peer.setKeys([NEW]);
    expect(reason(peer, bytes)).to.equal('unauthenticated');
  });
});
