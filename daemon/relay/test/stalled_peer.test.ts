import {expect} from 'chai';
import {once} from 'node:events';
import net from 'node:net';
import {Worker} from 'node:worker_threads';
import {
  allocatePorts,
  call,
  createSnapshot,
  createWorkerEntry,
  FakeSource,
  startRelay,
  startWorker,
} from './relay_fixtures.js';
import type {StalledPeerOptions} from './stalled_peer.js';

const HOST = '127.0.0.1';
const PEER_HOST = '127.0.0.2';
const STALL_MS = 3000; // three probes fail within 2.4 s of a hop; the drain ends requests after 3.4 s
const ROUTE_TIMEOUT_MS = 10_000; // longer than the grace time
const BACKLOG_CONNECTIONS = 2; // the kernel queues one more than the backlog

interface StalledPeerFixture {
  relay: Awaited<ReturnType<typeof startRelay>>['relay'];
  call: (path: string) => ReturnType<typeof call>;
  /** Resolves when the peer stalls and accepts no more connections. */
  untilPeerAcceptsNone: () => Promise<void>;
}

/** Starts a relay whose only worker is behind a relay that stalls. */
async function withStalledPeer(
  run: (fixture: StalledPeerFixture) => Promise<void>,
): Promise<void> {
  const ports = allocatePorts();
  const peerPort = ports[1]!; // the inbound port
  const workerData: StalledPeerOptions = {
    host: PEER_HOST,
    port: peerPort,
    stallMs: STALL_MS,
  };
  const peer = new Worker(new URL('./stalled_peer.js', import.meta.url), {
    workerData,
  });
  await once(peer, 'message');
  const snapshot = createSnapshot([
    createWorkerEntry({address: `${PEER_HOST}:1`}, 'i-0'),
  ]);
  snapshot.config!.routes.forEach(route => {
    route.timeoutMs = ROUTE_TIMEOUT_MS;
  });
  const worker = await startWorker(HOST);
  const source = new FakeSource(snapshot);
  const {relay, close} = await startRelay(worker, ports, source);
  const stalls = once(peer, 'message');
  const waiting: net.Socket[] = [];
  const untilPeerAcceptsNone = async () => {
    await stalls;
    for (let index = 0; index < BACKLOG_CONNECTIONS; index++) {
      const socket = net.connect(peerPort, PEER_HOST);
      socket.on('error', () => {}); // the peer ends before it accepts it
      waiting.push(socket);
      await once(socket, 'connect');
    }
  };
  const callRelay: StalledPeerFixture['call'] = path =>
    call({host: HOST, port: ports[0]!, path, deadlineMs: 60_000});
  try {
    await run({relay, call: callRelay, untilPeerAcceptsNone});
  } finally {
    close();
    waiting.forEach(socket => socket.destroy());
    await peer.terminate();
    await worker.close();
  }
}

describe('relay beside a stalled peer', () => {
  it('guards against ending a running request because its relay accepts no connections', async () => {
    await withStalledPeer(async ({call: callRelay, untilPeerAcceptsNone}) => {
      const result = callRelay('/read/1');
      await untilPeerAcceptsNone();
      expect((await result).status).to.equal(200);
    });
  });

  it('guards against ending a running request in the same way while it drains', async () => {
    await withStalledPeer(
      async ({relay, call: callRelay, untilPeerAcceptsNone}) => {
        const result = callRelay('/read/1');
        await untilPeerAcceptsNone();
        void relay.drain();
        expect((await result).status).to.equal(200);
      },
    );
  });
});
