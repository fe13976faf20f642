import {expect} from 'chai';
import {ManualClock} from '@carobseam/core.clock';
import {silentLogger} from '@carobseam/core.logger';
import {Metrics} from '@carobseam/core.metrics';
import type {DataCentreName} from '@carobseam/core.types';
import {
  DatagramAuthenticator,
  MAX_DATAGRAM_BYTES,
  UdpTransport,
} from '@carobseam/fleet.datagram';
import {createSocket} from 'node:dgram';

const ADDRESS = '127.0.0.1';
const PORT = 21_990;
const TIMEOUT_MS = 3000;

function createTransport(port: number, metrics: Metrics): UdpTransport {
  const audience = `${ADDRESS}:${port}`;
  const keys = [{id: 'k1', secret: 'some-shared-secret'}];
  const clock = new ManualClock();
  return new UdpTransport({
    address: ADDRESS,
    port,
    dataCentre: 'ost-wien' as DataCentreName,
    authenticator: new DatagramAuthenticator({keys, audience, clock}),
    metrics,
    logger: silentLogger,
  });
}

async function waitForTotal(metrics: Metrics, reason: string): Promise<void> {
  const deadlineMs = performance.now() + TIMEOUT_MS;
  const readTotal = () =>
    metrics.total('carobseam_messages_dropped_total', {reason});
  while ((await readTotal()) === 0 && performance.now() < deadlineMs) {
    await new Promise(resolve => setTimeout(resolve, 5));
  }
  expect(await readTotal(), reason).to.equal(1);
}

describe('UdpTransport', () => {
  const metrics = new Metrics();
  const receiver = createTransport(PORT, metrics);
  const sender = createTransport(PORT + 1, new Metrics());
  const rawSocket = createSocket('udp4');

  before(async () => {
    await receiver.start();
    await sender.start();
  });

  after(async () => {
    await receiver.close();
    await sender.close();
    rawSocket.close();
  });

  it('delivers a message with the endpoint of its sender', async () => {
    const received = new Promise(resolve =>
      receiver.onMessage((message, from) => resolve({message, from})),
    );
    const message = {kind: 'contact', seq: 1, echo: 0} as const;
    sender.send({address: ADDRESS, fleetPort: PORT}, message);
    expect(await received).to.deep.equal({
      message,
      from: {address: ADDRESS, fleetPort: PORT + 1},
    });
  });

  it('guards against accepting oversized, unauthenticated and malformed datagrams', async () => {
    rawSocket.send(Buffer.alloc(MAX_DATAGRAM_BYTES + 1), PORT, ADDRESS);
    await waitForTotal(metrics, 'datagram_oversized');
    rawSocket.send(Buffer.alloc(100), PORT, ADDRESS);
    await waitForTotal(metrics, 'datagram_unauthenticated');
    rawSocket.send(Buffer.alloc(3), PORT, ADDRESS);
    await waitForTotal(metrics, 'datagram_malformed');
  });
});
