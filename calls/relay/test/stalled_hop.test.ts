import {
  encodeHopRequest,
  HopDelays,
  hopHeaders,
  InboundHandler,
  RequestIntake,
  WorkerGate,
  type RequestLog,
} from '@carobseam/calls.relay';
import type {WorkerId} from '@carobseam/config.mesh';
import {SystemClock} from '@carobseam/core.clock';
import {wireHeaders} from '@carobseam/platform.adapter';
import {expect} from 'chai';
import {once} from 'node:events';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';
import {createWorker} from './route_fixture.js';

const STALL_MS = 1500;
const EXPIRES_IN_MS = 2000;
const ALLOWED_MS = 500; // by which a worker may get more time than is left

/** Sends two requests on one connection, the second one after `gapMs`. */
const SENDER = `
  const net = require('node:net');
  const {workerData, parentPort} = require('node:worker_threads');
  const socket = net.connect(workerData.port, '127.0.0.1');
  const sentAtMs = [];
  const send = () => {
    const nowMs = performance.now();
    sentAtMs.push(performance.timeOrigin + nowMs);
    socket.write(workerData.head + workerData.sentAt + ': sender;' + nowMs + '\\r\\n\\r\\n');
  };
  socket.on('data', () => {});
  socket.on('connect', () => { send(); setTimeout(send, workerData.gapMs); });
  setTimeout(() => { parentPort.postMessage(sentAtMs); socket.destroy(); }, 3500);
`;

async function listen(handle: http.RequestListener): Promise<http.Server> {
  const server = http.createServer(handle);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return server;
}

const portOf = (server: http.Server) => (server.address() as AddressInfo).port;

describe('InboundHandler, stalled', function () {
  this.timeout(10_000);

  it('guards against giving a worker more time than is left of a hop that was read late', async () => {
    const clock = new SystemClock();
    const expiries: number[] = [];
    const worker = await listen((request, response) => {
      const deadlineMs = Number(request.headers[wireHeaders.deadlineMs]);
      expiries.push(performance.timeOrigin + performance.now() + deadlineMs);
      response.setHeader(wireHeaders.workerSignature, 'signature');
      response.end();
    });
    const workerAddress = `127.0.0.1:${portOf(worker)}`;
    const workerGate = new WorkerGate({
      clock,
      workerAddress,
      connectTimeoutMs: 500,
      idleTtlMs: 4000,
      maxIdle: 4,
      drainMs: 2000,
      isGone: () => false,
      onConnection: () => {},
    });
    workerGate.setWorker(createWorker(workerAddress));
    const handler = new InboundHandler({
      clock,
      workerGate,
      intake: new RequestIntake({clock}),
      hopDelays: new HopDelays(clock),
      log: {hopRead: () => {}, gateDecision: () => {}} as unknown as RequestLog,
      isDraining: () => false,
      isRefusingNewRequests: () => false,
      shutdownDeadlineMs: () => Infinity,
    });
    const relay = await listen((request, response) =>
      handler.handle(request, response),
    );
    const hop = encodeHopRequest({
      worker: 'i-7' as WorkerId,
      isIdempotent: true,
      rank: 0,
      isLastCallerAttempt: false,
      dueInMs: EXPIRES_IN_MS,
      expiresInMs: EXPIRES_IN_MS,
    });
    const sender = new Worker(SENDER, {
      eval: true,
      workerData: {
        port: portOf(relay),
        head: `GET / HTTP/1.1\r\nHost: a.example\r\n${hopHeaders.request}: ${hop}\r\n`,
        sentAt: hopHeaders.sentAt,
        gapMs: 300,
      },
    });
    const sent = once(sender, 'message') as Promise<[number[]]>;
    while (expiries.length === 0) {
      await pause(5);
    }
    await pause(200);
    // The second request is sent while the event loop is blocked.
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, STALL_MS);
    const [sentAtMs] = await sent;
    workerGate.close();
    for (const server of [relay, worker]) {
      server.closeAllConnections();
      server.close();
    }
    expect(expiries).to.have.length(2);
    expect(expiries[1]! - sentAtMs[1]!).to.be.at.most(
      EXPIRES_IN_MS + ALLOWED_MS,
    );
  });
});
