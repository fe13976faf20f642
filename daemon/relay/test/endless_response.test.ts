import {wireHeaders} from '@carobseam/platform.adapter';
import {expect} from 'chai';
import http from 'node:http';
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

const BLOCK = Buffer.alloc(64 * 1024, 'x');
const DEADLINE_MS = 700;
const LATE_MS = 300; // processor time may be short

const SLOT_FREE_MS = 2000; // grace of the gate and two rounds of housekeeping

type RequestHandler = (request: ReceivedRequest) => void;

interface Mesh {
  port: number;
  /** Connections of the called worker that are open. */
  openSockets: () => number;
}

/**
 * Runs one relay with its worker, or two relays of which the first calls the
 * worker of the second.
 */
async function withMesh(
  relayCount: 1 | 2,
  handle: RequestHandler,
  run: (mesh: Mesh) => Promise<void>,
): Promise<void> {
  const sockets = new Set<unknown>();
  const ports = allocatePorts();
  const handleLast: RequestHandler = request => {
    const {socket} = request.response;
    sockets.add(socket);
    socket!.once('close', () => sockets.delete(socket));
    handle(request);
  };
  const handlers = relayCount === 1 ? [handleLast] : [respond, handleLast];
  const workers = await Promise.all(
    handlers.map((handler, index) =>
      startWorker(`127.0.0.${index + 1}`, handler),
    ),
  );
  const entries = workers.map((worker, index) => ({
    ...createWorkerEntry(worker, `i-${index}`),
    isLeaving: index < workers.length - 1,
  }));
  const relays = await Promise.all(
    workers.map(worker =>
      startRelay(worker, ports, new FakeSource(createSnapshot(entries))),
    ),
  );
  try {
    await run({port: ports[0]!, openSockets: () => sockets.size});
  } finally {
    relays.forEach(relay => relay.close());
    await Promise.all(workers.map(worker => worker.close()));
  }
}

function writeHead(request: ReceivedRequest): void {
  request.response.writeHead(200, {
    [wireHeaders.requestId]: request.headers[wireHeaders.requestId]!,
    [wireHeaders.workerSignature]: 'signature',
  });
}

function flood(request: ReceivedRequest): void {
  writeHead(request);
  const {response} = request;
  const timer = setInterval(() => {
    if (!response.writableNeedDrain) {
      response.write(BLOCK);
    }
  }, 2);
  response.once('close', () => clearInterval(timer));
}

/** Sends enough for a streamed response, then one byte at a time. */
function trickle(request: ReceivedRequest): void {
  writeHead(request);
  const {response} = request;
  for (let index = 0; index < 5; index++) {
    response.write(BLOCK);
  }
  const timer = setInterval(() => response.write('x'), 20);
  response.once('close', () => clearInterval(timer));
}

/** Returns a handler that sends bytes in place of a response, without end. */
function sendRaw(
  prefix: string,
  part: string,
  intervalMs: number,
): RequestHandler {
  return ({response}) => {
    const socket = response.socket!;
    socket.write(prefix);
    const timer = setInterval(() => {
      if (!socket.writableNeedDrain) {
        socket.write(part);
      }
    }, intervalMs);
    socket.once('close', () => clearInterval(timer));
  };
}

/** Sends a request and returns how its response ended. */
async function describeCall(
  port: number,
  path: string,
): Promise<{text: string; durationMs: number}> {
  const startMs = performance.now();
  const abort = new AbortController();
  const timer = setTimeout(() => abort.abort(), 3000);
  const text = await call({
    host: '127.0.0.1',
    port,
    path,
    method: path.startsWith('/buy/') ? 'POST' : 'GET',
    deadlineMs: DEADLINE_MS,
    signal: abort.signal,
  }).then(
    ({status, body}) => `${status} ${body.length} bytes`,
    (error: NodeJS.ErrnoException) =>
      abort.signal.aborted ? 'never ended' : `broken off: ${error.code}`,
  );
  clearTimeout(timer);
  return {text, durationMs: performance.now() - startMs};
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

for (const relayCount of [1, 2] as const) {
  describe(`relay with a worker that sends without end, through ${relayCount} relay(s)`, () => {
    const bodies: Array<[string, RequestHandler]> = [
      ['a body without end', flood],
      ['a body that trickles', trickle],
    ];
    for (const [name, handle] of bodies) {
      for (const route of ['read', 'buy']) {
        it(`guards against ${name} past the deadline on route ${route}`, async () => {
          await withMesh(relayCount, handle, async ({port, openSockets}) => {
            const {text, durationMs} = await describeCall(port, `/${route}/1`);
            expect(text).to.equal('broken off: ECONNRESET');
            expect(durationMs).to.be.within(
              DEADLINE_MS / 2,
              DEADLINE_MS + LATE_MS,
            );
            await pause(50);
            expect(openSockets()).to.equal(0);
          });
        });
      }
    }

    const heads: Array<[string, RequestHandler]> = [
      ['a status line', sendRaw('HTTP/1.1 200 ', 'x'.repeat(65_536), 2)],
      [
        'header lines',
        sendRaw('HTTP/1.1 200 OK\r\n', 'A: b\r\n'.repeat(9999), 2),
      ],
      [
        'interim responses',
        sendRaw('', 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(2000), 2),
      ],
      [
        'a chunk size',
        sendRaw(
          `HTTP/1.1 200 OK\r\n${wireHeaders.workerSignature}: s\r\nTransfer-Encoding: chunked\r\n\r\n`,
          '0'.repeat(65_536),
          2,
        ),
      ],
      ['bytes that are not HTTP', sendRaw('%', '', 100)],
    ];
    for (const [name, handle] of heads) {
      it(`guards against waiting for the end of ${name}`, async () => {
        await withMesh(relayCount, handle, async ({port, openSockets}) => {
          const {text, durationMs} = await describeCall(port, '/buy/1');
          expect(text).to.equal('502 0 bytes');
          expect(durationMs).to.be.below(DEADLINE_MS / 2);
          await pause(50);
          expect(openSockets()).to.equal(0);
        });
      });
    }

    const trickles: Array<[string, RequestHandler]> = [
      ['a head', sendRaw('HTTP/1.1 200 OK\r\nA: ', 'x', 10)],
      ['interim responses', sendRaw('', 'HTTP/1.1 102 Processing\r\n\r\n', 10)],
      [
        'a small body',
        sendRaw(
          `HTTP/1.1 200 OK\r\n${wireHeaders.workerSignature}: s\r\nContent-Length: 90000\r\n\r\n`,
          'x',
          10,
        ),
      ],
    ];
    for (const [name, handle] of trickles) {
      it(`responds 504 at the deadline to ${name} that trickles`, async () => {
        await withMesh(relayCount, handle, async ({port, openSockets}) => {
          const {text, durationMs} = await describeCall(port, '/buy/1');
          expect(text).to.equal('504 0 bytes');
          expect(durationMs).to.be.below(DEADLINE_MS + LATE_MS);
          await pause(SLOT_FREE_MS);
          expect(openSockets()).to.equal(0);
        });
      });
    }

    it('passes a body of several MB whole', async () => {
      const bytes = 5 * 1024 * 1024;
      const sendLarge: RequestHandler = request => {
        request.response.writeProcessing();
        writeHead(request);
        request.response.end(Buffer.alloc(bytes, 'x'));
      };
      await withMesh(relayCount, sendLarge, async ({port}) => {
        const {text} = await describeCall(port, '/read/1');
        expect(text).to.equal(`200 ${bytes} bytes`);
      });
    });

    it('guards against a caller that does not read a body without end', async () => {
      await withMesh(relayCount, flood, async ({port, openSockets}) => {
        const request = http.get({
          host: '127.0.0.1',
          port,
          path: '/read/1',
          headers: {
            host: 'hints.example',
            [wireHeaders.requestId]: 'id-1',
            [wireHeaders.deadlineMs]: String(DEADLINE_MS),
          },
        });
        request.on('response', response => response.pause());
        request.on('error', () => {});
        await pause(DEADLINE_MS / 2);
        expect(openSockets()).to.equal(1);
        await pause(DEADLINE_MS / 2 + LATE_MS);
        expect(openSockets()).to.equal(0);
        request.destroy();
      });
    });
  });
}
