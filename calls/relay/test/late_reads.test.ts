import {ReadDelayProbe, RequestIntake} from '@carobseam/calls.relay';
import {SystemClock} from '@carobseam/core.clock';
import {epochMs} from '@carobseam/testing.fixtures';
import {expect} from 'chai';
import {once} from 'node:events';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {Worker} from 'node:worker_threads';

const HOST = '127.0.0.1';
const CALLERS = 20;
const BLOCKED_MS = 800; // one turn of the event loop, or a pause of the process
const LEAVE_AFTER_MS = 100;

const MAX_BLOCKED_MS = 5000;

/**
 * Callers in a thread of their own. Each has a connection, kept or new, sends a
 * request on it when it gets a message, and closes it `leaveAfterMs` later.
 */
const CALLERS_CODE = `
const net = require('node:net');
const {parentPort, workerData} = require('node:worker_threads');
const {host, port, count, isKept, leaveAfterMs, left} = workerData;
const text = id => 'GET / HTTP/1.1\\r\\nHost: a.example\\r\\nx-id: ' + id + '\\r\\n\\r\\n';
const connect = () => {
  const socket = net.connect({host, port});
  socket.on('error', () => {});
  return socket;
};
const sockets = [];
const send = () => {
  for (let index = 0; index < count; index++) {
    const socket = isKept ? sockets[index] : connect();
    socket.write(text('late-' + index));
    socket.once('close', () => Atomics.add(left, 0, 1));
    setTimeout(() => socket.destroySoon(), leaveAfterMs);
  }
};
parentPort.on('message', send);
if (isKept) {
  let answers = 0;
  for (let index = 0; index < count; index++) {
    const socket = connect();
    sockets.push(socket);
    socket.once('data', () => ++answers === count && parentPort.postMessage('ready'));
    socket.write(text('first-' + index));
  }
} else {
  parentPort.postMessage('ready');
}
`;

interface Callers {
  thread: Worker;
  /** Number of callers that have closed their connections. */
  countLeft: () => number;
}

function startCallers(
  port: number,
  options: {isKept: boolean; leaveAfterMs: number},
): Callers {
  const left = new Int32Array(new SharedArrayBuffer(4));
  const thread = new Worker(CALLERS_CODE, {
    eval: true,
    workerData: {host: HOST, port, count: CALLERS, left, ...options},
  });
  return {thread, countLeft: () => Atomics.load(left, 0)};
}

async function listen(handler: http.RequestListener) {
  const server = http.createServer(handler);
  server.listen(0, HOST, 1024);
  await once(server, 'listening');
  return {server, port: (server.address() as AddressInfo).port};
}

const pass = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/**
 * Has the callers send while the event loop does not read for a while, and until
 * `leaving` of them have left: their thread may get its processor late.
 */
async function sendWhileBlocked(
  {thread, countLeft}: Callers,
  leaving: number,
): Promise<void> {
  await once(thread, 'message');
  await pass(50);
  thread.postMessage('send');
  const startMs = performance.now();
  const blockedMs = () => performance.now() - startMs;
  while (
    blockedMs() < BLOCKED_MS ||
    (countLeft() < leaving && blockedMs() < MAX_BLOCKED_MS)
  ) {
    // Uses the processor.
  }
  await pass(500);
}

const isLate = (id: string) => id.startsWith('late');

describe('event loop that did not read for some time', () => {
  it('guards against work for callers whose ends lie behind their requests', async () => {
    const ran: string[] = [];
    const dropped: string[] = [];
    const intake = new RequestIntake({clock: new SystemClock()});
    const {server, port} = await listen((request, response) => {
      const id = request.headers['x-id'] as string;
      void intake.submit({
        priorityClass: 1,
        expiresAtMs: Infinity,
        hasLeft: () => request.socket.destroyed || request.socket.readableEnded,
        run: async () => {
          ran.push(id);
          response.end('ok');
        },
        refuse: () => {},
        drop: () => dropped.push(id),
      });
    });
    const callers = startCallers(port, {
      isKept: true,
      leaveAfterMs: LEAVE_AFTER_MS,
    });
    await sendWhileBlocked(callers, CALLERS);
    await callers.thread.terminate();
    server.closeAllConnections();
    server.close();
    expect(ran.length + dropped.length).to.equal(CALLERS * 2);
    expect(ran.filter(isLate)).to.deep.equal([]);
  });

  it('guards against missing the wait of new connections', async () => {
    const delaysMs: number[] = [];
    const readMs: number[] = [];
    const {server, port} = await listen((request, response) => {
      if (!probe.respond(request, response)) {
        delaysMs.push(probe.delayOf(request));
        readMs.push(epochMs());
        response.end('ok');
      }
    });
    const probe = new ReadDelayProbe({
      clock: new SystemClock(),
      host: HOST,
      port,
    });
    server.on('connection', socket => probe.connectionAccepted(socket));
    const callers = startCallers(port, {isKept: false, leaveAfterMs: 5000});
    const sentMs = epochMs() + 50;
    await sendWhileBlocked(callers, 0);
    await callers.thread.terminate();
    probe.close();
    server.closeAllConnections();
    server.close();
    expect(delaysMs.length).to.equal(CALLERS);
    expect(Math.min(...readMs) - sentMs).to.be.greaterThan(BLOCKED_MS / 2);
    expect(Math.min(...delaysMs)).to.be.greaterThan(BLOCKED_MS / 4);
  });
});
