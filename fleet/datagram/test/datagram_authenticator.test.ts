import {expect} from 'chai';
import {ManualClock} from '@carobseam/core.clock';
import {DatagramAuthenticator} from '@carobseam/fleet.datagram';

const OLD_KEY = {id: 'k1', secret: 'old-shared-secret'};
const NEW_KEY = {id: 'k2', secret: 'new-shared-secret'};
const AUDIENCE = '10.0.0.1:7101';
const PAYLOAD = Buffer.from('payload');

function setUp(keys = [OLD_KEY]) {
  const clock = new ManualClock();
  const authenticator = new DatagramAuthenticator({
    keys,
    audience: AUDIENCE,
    clock,
  });
  const bytes = authenticator.sign(PAYLOAD, AUDIENCE);
  return {clock, authenticator, bytes};
}

function getVerdict(
  authenticator: DatagramAuthenticator,
  bytes: Buffer,
): string {
  const result = authenticator.verify(bytes);
  return result.valid ? 'valid' : result.reason;
}

describe('DatagramAuthenticator', () => {
  it('guards against accepting a forged datagram', () => {
    const {authenticator, bytes} = setUp();
    for (let offset = 0; offset < bytes.length; offset++) {
      const forged = Buffer.from(bytes);
      forged[offset] = forged[offset]! ^ 1;
      expect(getVerdict(authenticator, forged)).to.equal('unauthenticated');
    }
    expect(getVerdict(authenticator, bytes.subarray(0, 10))).to.equal(
      'malformed',
    );
  });

  it('guards against accepting a replayed datagram', () => {
    const {clock, authenticator, bytes} = setUp();
    expect(getVerdict(authenticator, bytes)).to.equal('valid');
    for (let step = 0; step < 30; step++) {
      expect(getVerdict(authenticator, bytes)).to.equal('replayed');
      clock.advance(1000);
    }
    clock.advance(1);
    expect(getVerdict(authenticator, bytes)).to.equal('expired');
  });

  it('guards against accepting a datagram replayed to another daemon', () => {
    const {clock, bytes} = setUp();
    const audience = '10.0.0.2:7101';
    const other = new DatagramAuthenticator({keys: [OLD_KEY], audience, clock});
    expect(getVerdict(other, bytes)).to.equal('unauthenticated');
  });

  it('guards against a key rotation that rejects datagrams of other daemons', () => {
    const {clock, authenticator, bytes} = setUp();
    const peer = new DatagramAuthenticator({
      keys: [NEW_KEY, OLD_KEY],
      audience: AUDIENCE,
      clock,
    });
    expect(getVerdict(peer, bytes)).to.equal('valid');
    authenticator.setKeys([OLD_KEY, NEW_KEY]);
    expect(getVerdict(authenticator, peer.sign(PAYLOAD, AUDIENCE))).to.equal(
      'valid',
    );
    peer.setKeys([NEW_KEY]);
    expect(getVerdict(peer, bytes)).to.equal('unauthenticated');
  });
});
