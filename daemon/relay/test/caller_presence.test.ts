import {wireHeaders} from '@carobseam/platform.adapter';
import {expect} from 'chai';
import {once} from 'node:events';
import net from 'node:net';
import {
  allocatePorts,
  call,
  createSnapshot,
  createWorkerEntry,
  FakeSource,
  respond,
  startRelay,
  startWorker,
  type ReceivedRequest,
} from './relay_fixtures.js';

const HOST = '127.0.0.91';
const SLOTS = 4;
const STREAMED_BYTES = 600 * 1024; // more than the relay buffers
const WARM_UP_REQUESTS = 30; // so that the estimate of the service time is short
const LATE_MS = 500; // from which work for a caller that has left counts
const DEADLINE_MS = 1400;

const ID_PATTERN = new RegExp(`^${wireHeaders.requestId}: (\\S+)`, 'im');

async function startMesh(handle: (request: ReceivedRequest) => void = respond) {
  const worker = await startWorker(HOST, handle);
  const entry = {...createWorkerEntry(worker, 'i-1'), slots: SLOTS};
  const ports = allocatePorts();
  const {relay, close} = await startRelay(
    worker,
    ports,
    new FakeSource(createSnapshot([entry])),
  );
  const stop = async () => {
    close();
    await worker.close();
  };
  return {relay, worker, port: ports[0]!, stop};
}

function head(
  method: string,
  path: string,
  id: string,
  {deadlineMs = DEADLINE_MS, bytes = 0} = {},
): string {
  return (
    `${method} ${path} HTTP/1.1\r\nHost: hints.example\r\n` +
    `${wireHeaders.requestId}: ${id}\r\n` +
    `${wireHeaders.deadlineMs}: ${deadlineMs}\r\n` +
    `Content-Length: ${bytes}\r\n\r\n`
  );
}

async function connect(port: number): Promise<net.Socket> {
  const socket = net.connect({host: HOST, port});
  socket.on('error', () => {});
  await once(socket, 'connect');
  return socket;
}

const pass = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

const idOf = ({headers}: ReceivedRequest) =>
  headers[wireHeaders.requestId] as string;

describe('relay and its callers', () => {
  it('guards against refusing a request with little time left while nothing waits', async () => {
    const mesh = await startMesh();
    const results = [];
    for (let count = 0; count < 5; count++) {
      const {status} = await call({
        host: HOST,
        port: mesh.port,
        path: '/read/a',
        deadlineMs: 200, // less than half of the target latency
      });
      results.push(status);
    }
    await mesh.stop();
    expect(results).to.deep.equal([200, 200, 200, 200, 200]);
  });

  it('guards against missing that the caller of a pipelined request has left', async () => {
    const cancelled: string[] = [];
    const received: string[] = [];
    const mesh = await startMesh(request => {
      received.push(idOf(request));
      request.response.on('close', () => cancelled.push(idOf(request)));
    });
    const socket = await connect(mesh.port);
    socket.write(head('GET', '/read/a', 'a') + head('GET', '/read/b', 'b'));
    await pass(100);
    socket.destroy();
    await pass(LATE_MS);
    const atWork = received.filter(id => !cancelled.includes(id));
    const draining = mesh.relay.drain().then(() => 'drained');
    const end = await Promise.race([draining, pass(3000)]);
    await mesh.stop();
    expect(received).to.deep.equal(['a', 'b']);
    expect({atWork, end}).to.deep.equal({atWork: [], end: 'drained'});
  });

  it('guards against another attempt of a pipelined request whose caller has left', async () => {
    const arrivals: Array<{id: string; atMs: number}> = [];
    const ports = allocatePorts();
    const sockets: net.Socket[] = [];
    // Relays that read requests and stay silent.
    const peers = ['127.0.0.96', '127.0.0.97'].map(host => {
      const server = net.createServer(socket => {
        sockets.push(socket);
        socket.on('error', () => {});
        socket.on('data', chunk => {
          const id = ID_PATTERN.exec(chunk.toString('latin1'))?.[1];
          if (id) {
            arrivals.push({id, atMs: performance.now()});
          }
        });
      });
      server.listen(ports[1], host);
      return {server, host};
    });
    const own = await startWorker(HOST);
    const entries = peers.map(({host}) =>
      createWorkerEntry({...own, address: `${host}:9000`}, `i-${host}`),
    );
    const source = new FakeSource(createSnapshot(entries));
    const {close} = await startRelay(own, ports, source);
    const socket = await connect(ports[0]!);
    socket.write(head('GET', '/read/a', 'a') + head('GET', '/read/b', 'b'));
    await pass(50);
    const leftMs = performance.now();
    socket.destroy();
    await pass(1400);
    close();
    await own.close();
    peers.forEach(({server}) => server.close());
    sockets.forEach(peer => peer.destroy());
    const lateIds = arrivals
      .filter(({atMs}) => atMs > leftMs + LATE_MS)
      .map(({id}) => id);
    expect(arrivals.map(({id}) => id)).to.include.members(['a', 'b']);
    expect(lateIds).to.deep.equal([]);
  });

  for (const path of ['/read/a', '/buy/a']) {
    it(`guards against sending on a long body whose caller has left, ${path}`, async () => {
      const held: ReceivedRequest[] = [];
      const arrivals = new Map<string, number>();
      const mesh = await startMesh(request => {
        arrivals.set(idOf(request), performance.now());
        if (request.url === '/read/held') {
          held.push(request);
        } else {
          respond(request);
        }
      });
      for (let count = 0; count < WARM_UP_REQUESTS; count++) {
        await call({host: HOST, port: mesh.port, path: '/read/warm'});
      }
      const callers = await Promise.all(
        Array.from({length: SLOTS}, () => connect(mesh.port)),
      );
      callers.forEach((caller, index) =>
        caller.write(head('GET', '/read/held', `held-${index}`)),
      );
      await pass(100);
      const leaver = await connect(mesh.port);
      const options = {bytes: STREAMED_BYTES};
      leaver.write(head('POST', path, 'leaver', options));
      leaver.write(Buffer.alloc(STREAMED_BYTES, 'x'));
      await pass(100);
      leaver.destroySoon();
      const leftMs = performance.now();
      await pass(LATE_MS + 100);
      held.splice(0).forEach(respond);
      await pass(200);
      await mesh.stop();
      callers.forEach(caller => caller.destroy());
      const lateMs = (arrivals.get('leaver') ?? leftMs) - leftMs;
      expect(lateMs).to.be.lessThan(LATE_MS);
    });
  }

  it('guards against a connection that is not read any more after a long body was refused', async () => {
    const mesh = await startMesh();
    const socket = await connect(mesh.port);
    let text = '';
    socket.on('data', chunk => (text += chunk.toString('latin1')));
    const options = {deadlineMs: 20, bytes: STREAMED_BYTES};
    socket.write(head('POST', '/read/a', 'long', options));
    socket.write(Buffer.alloc(STREAMED_BYTES, 'x'));
    await pass(200);
    const first = text;
    socket.write(head('GET', '/read/b', 'next'));
    await pass(500);
    const isClosed = socket.destroyed || socket.readableEnded;
    await mesh.stop();
    socket.destroy();
    expect(first).to.match(/^HTTP\/1.1 503 /);
    expect(isClosed || text.includes('HTTP/1.1 200 ')).to.equal(true);
  });
});
