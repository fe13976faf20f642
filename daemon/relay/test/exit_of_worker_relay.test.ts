import {
  decodeHopResponse,
  encodeHopRequest,
  hopHeaders,
} from '@carobseam/calls.relay';
import {ManualClock} from '@carobseam/core.clock';
import type {WorkerId} from '@carobseam/config.mesh';
import {wireHeaders} from '@carobseam/platform.adapter';
import {expect} from 'chai';
import net from 'node:net';
import {setImmediate, setTimeout as sleep} from 'node:timers/promises';
import {
  allocatePorts,
  createSnapshot,
  createWorkerEntry,
  FakeSource,
  startRelay,
  startWorker,
  type FakeWorker,
  type RunningRelay,
} from './relay_fixtures.js';

const HOST = '127.0.0.2';
const PEER_HOST = '127.0.0.1';
const MIN_DRAIN_MS = 2600;
const WORKER_ID = 'i-0' as WorkerId;
const CALLERS = 12;
const AFTER_SIGNAL_MS = 1000;
const EXIT_MS = 3600; // requests in flight end before it, by the grace time of the fixture

/** A relay that is about to exit, and its worker. */
interface ExitFixture {
  relay: RunningRelay['relay'];
  clock: ManualClock;
  worker: FakeWorker;
  ports: number[];
  /** Opens a connection as another relay does. */
  connect(): Promise<PeerConnection>;
}

interface PeerConnection {
  socket: net.Socket;
  closed: Promise<unknown>;
  /** @param expiresInMs time until the caller's or the route's timeout. */
  sendHop(expiresInMs?: number): void;
  /** Verdicts of the responses so far. */
  verdicts(): Array<string | undefined>;
}

async function withExit(
  run: (fixture: ExitFixture) => Promise<void>,
): Promise<void> {
  const clock = new ManualClock();
  const worker = await startWorker(HOST);
  const ports = allocatePorts();
  const entry = {...createWorkerEntry(worker, WORKER_ID), slots: CALLERS};
  const snapshot = createSnapshot([entry]);
  const source = new FakeSource(snapshot);
  const {relay, close} = await startRelay(worker, ports, source, clock);
  try {
    await run({
      relay,
      clock,
      worker,
      ports,
      connect: () => connect(ports[1]!),
    });
  } finally {
    close();
    await worker.close();
  }
}

async function connect(port: number): Promise<PeerConnection> {
  const socket = net.connect({host: HOST, port});
  let received = '';
  socket.on('data', chunk => (received += chunk.toString()));
  socket.on('end', () => socket.end());
  socket.on('error', () => {}); // a reset shows in the missing response
  const closed = new Promise(resolve => socket.once('close', resolve));
  await new Promise(resolve => socket.once('connect', resolve));
  await sleep(20);
  const requestOf = (expiresInMs: number) => {
    const hop = encodeHopRequest({
      worker: WORKER_ID,
      isIdempotent: false,
      rank: 1,
      isLastCallerAttempt: false,
      dueInMs: 500,
      expiresInMs,
    });
    return [
      'GET /buy/1 HTTP/1.1',
      'Host: hints.example',
      `${wireHeaders.requestId}: id-1`,
      `${hopHeaders.request}: ${hop}`,
      '\r\n',
    ].join('\r\n');
  };
  const pattern = new RegExp(`^${hopHeaders.response}: (.*)$`, 'gim');
  return {
    socket,
    closed,
    sendHop: (expiresInMs = 1500) => void socket.write(requestOf(expiresInMs)),
    verdicts: () =>
      [...received.matchAll(pattern)].map(
        ([, text]) => decodeHopResponse(text!.trim())?.verdict,
      ),
  };
}

/** Opens a connection that a caller keeps for many requests. */
async function connectCaller(port: number) {
  const socket = net.connect({host: PEER_HOST, port, noDelay: true});
  let received = '';
  socket.on('data', chunk => (received += chunk.toString()));
  await new Promise(resolve => socket.once('connect', resolve));
  await sleep(20);
  return {
    send: () =>
      socket.write(
        'POST /buy/1 HTTP/1.1\r\nHost: hints.example\r\n' +
          `${wireHeaders.requestId}: id-1\r\nContent-Length: 0\r\n\r\n`,
      ),
    close: () => void socket.destroy(),
    statuses: () =>
      [...received.matchAll(/HTTP\/1.1 (\d+)/g)].map(match => match[1]),
  };
}

describe('exit of the relay beside a worker', () => {
  it('guards against leaving a hop without a verdict that crosses the close of a kept connection', async () => {
    await withExit(async ({relay, clock, worker, connect: connectPeer}) => {
      const peer = await connectPeer();
      peer.sendHop();
      await sleep(50);
      expect(peer.verdicts()).to.deep.equal(['answered']);
      const drained = relay.drain().then(() => relay.close());
      await sleep(20);
      peer.socket.once('end', () => peer.sendHop());
      clock.jump(MIN_DRAIN_MS);
      clock.advance(0);
      await Promise.all([drained, peer.closed]);
      expect(peer.verdicts()).to.deep.equal(['answered', 'notSent']);
      expect(worker.requests).to.have.length(1);
    });
  });

  it('guards against leaving a hop without a verdict whose connection was not accepted before the exit', async () => {
    await withExit(async ({relay, clock, worker, connect: connectPeer}) => {
      const drained = relay.drain().then(() => relay.close());
      await sleep(20);
      const peers = Array.from({length: 10}, () => connectPeer());
      clock.jump(MIN_DRAIN_MS);
      clock.advance(0);
      const opened = await Promise.all(peers);
      await drained;
      await Promise.all(opened.map(({closed}) => closed));
      opened.forEach(peer =>
        expect(peer.verdicts()).to.deep.equal(['notSent']),
      );
      expect(worker.requests).to.have.length(0);
    });
  });

  it('guards against taking a hop during the drain that the exit could break off', async () => {
    await withExit(async ({relay, clock, worker, connect: connectPeer}) => {
      const peer = await connectPeer();
      void relay.drain();
      clock.advance(AFTER_SIGNAL_MS);
      peer.sendHop(EXIT_MS - AFTER_SIGNAL_MS);
      await sleep(50);
      expect(peer.verdicts()).to.deep.equal(['notSent']);
      expect(worker.requests).to.have.length(0);
      peer.sendHop(EXIT_MS - AFTER_SIGNAL_MS - 500);
      await sleep(50);
      expect(peer.verdicts()).to.deep.equal(['notSent', 'answered']);
    });
  });

  it('guards against a 502 for a request that another relay sent as this one exited', async () => {
    await withExit(async ({relay, clock, worker, ports}) => {
      const peerWorker = await startWorker(PEER_HOST);
      const entry = {...createWorkerEntry(worker, WORKER_ID), slots: CALLERS};
      const source = new FakeSource(createSnapshot([entry]));
      const peer = await startRelay(peerWorker, ports, source, clock);
      const callers = await Promise.all(
        Array.from({length: CALLERS}, () => connectCaller(ports[0]!)),
      );
      callers.forEach(caller => caller.send());
      await sleep(100);
      const drained = relay.drain().then(() => relay.close());
      await sleep(20);
      // One of them is sent on in the turn in which the other relay exits.
      for (const [index, caller] of callers.entries()) {
        caller.send();
        clock.advance(index === CALLERS / 2 ? MIN_DRAIN_MS : 20);
        await setImmediate();
      }
      await Promise.race([drained, sleep(500)]);
      await sleep(100);
      const statuses = callers.flatMap(caller => caller.statuses());
      expect(statuses).to.have.length(2 * CALLERS);
      expect(statuses).to.not.include('502');
      callers.forEach(caller => caller.close());
      peer.close();
      await peerWorker.close();
    });
  });
});
