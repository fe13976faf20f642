import {
  encodeHopRequest,
  HopDelays,
  hopHeaders,
  InboundHandler,
  RequestIntake,
  WorkerGate,
} from '@carobseam/calls.relay';
import type {WorkerId} from '@carobseam/config.mesh';
import {SystemClock} from '@carobseam/core.clock';
import type {LogFields} from '@carobseam/core.logger';
import {wireHeaders} from '@carobseam/platform.adapter';
import {expect} from 'chai';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {createWorker} from './route_fixture.js';

const MAX_LOG_DELAY_MS = 2000;

interface Hop {
  /** Sends a request as another relay does. */
  send(id: string, signal?: AbortSignal): Promise<void>;
  /** Waits for a line about a request. */
  lineOf(id: string): Promise<LogFields>;
}

async function listen(handle: http.RequestListener): Promise<http.Server> {
  const server = http.createServer(handle);
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return server;
}

function portOf(server: http.Server): number {
  return (server.address() as AddressInfo).port;
}

/** Runs a test against a handler whose worker has one slot. */
async function withHop(
  handleWork: http.RequestListener,
  run: (hop: Hop) => Promise<void>,
): Promise<void> {
  const clock = new SystemClock();
  const worker = await listen(handleWork);
  const workerAddress = `127.0.0.1:${portOf(worker)}`;
  const lines: LogFields[] = [];
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
  workerGate.setWorker({...createWorker(workerAddress), slots: 1});
  const handler = new InboundHandler({
    clock,
    workerGate,
    intake: new RequestIntake({clock}),
    hopDelays: new HopDelays(clock),
    log: {
      requestPlaced: () => {},
      attemptFailed: () => {},
      hopSilent: () => {},
      hopRead: () => {},
      retryBudgetExhausted: () => {},
      requestEnded: () => {},
      gateDecision: (reason, fields) => lines.push({reason, ...fields}),
    },
    isDraining: () => false,
    isRefusingNewRequests: () => false,
    shutdownDeadlineMs: () => Infinity,
  });
  const relay = await listen((request, response) =>
    handler.handle(request, response),
  );
  try {
    await run({
      send: (id, signal) => sendHop(portOf(relay), id, signal),
      lineOf: id => waitForLine(lines, id),
    });
  } finally {
    workerGate.close();
    for (const server of [relay, worker]) {
      server.close();
      server.closeAllConnections();
    }
  }
}

function sendHop(
  port: number,
  id: string,
  signal?: AbortSignal,
): Promise<void> {
  const hop = encodeHopRequest({
    worker: 'i-7' as WorkerId,
    isIdempotent: true,
    rank: 1,
    isLastCallerAttempt: false,
    dueInMs: 5000,
    expiresInMs: 9000,
  });
  const headers = {[hopHeaders.request]: hop, [wireHeaders.requestId]: id};
  const options = {host: '127.0.0.1', port, agent: false, signal, headers};
  return new Promise(resolve => {
    http
      .get(options, response => response.resume().on('close', () => resolve()))
      .on('error', () => resolve());
  });
}

async function waitForLine(
  lines: readonly LogFields[],
  id: string,
): Promise<LogFields> {
  const endMs = performance.now() + MAX_LOG_DELAY_MS;
  while (performance.now() < endMs) {
    const line = lines.find(fields => fields['id'] === id);
    if (line) {
      return line;
    }
    await new Promise(resolve => setTimeout(resolve, 10));
  }
  throw new Error(`no line names request ${id}`);
}

describe('InboundHandler', () => {
  it('guards against no line for a running request that its sender has given up', async () => {
    await withHop(
      () => {},
      async hop => {
        await hop.send('a', AbortSignal.timeout(400));
        const line = await hop.lineOf('a');
        expect(line).to.include({
          reason: 'senderLeft',
          outcome: 'unknown',
          result: 'cancelled',
        });
        expect(line['interims']).to.be.within(1, 2);
        expect(line['waitedMs']).to.be.below(200);
        expect(line['ranMs']).to.be.within(150, 600);
        expect(line['leftAfterMs']).to.be.within(150, 600);
      },
    );
  });

  it('guards against no line for a queued request that its sender has given up', async () => {
    await withHop(
      () => {},
      async hop => {
        const first = hop.send('a', AbortSignal.timeout(900));
        await new Promise(resolve => setTimeout(resolve, 100));
        await hop.send('b', AbortSignal.timeout(300));
        const line = await hop.lineOf('b');
        expect(line).to.include({reason: 'senderLeft', outcome: 'notSent'});
        expect(line['waitedMs']).to.be.within(100, 600);
        expect(line).to.have.property('ranMs', undefined);
        await first;
      },
    );
  });

  it('states how long a request that failed at the worker waited and ran', async () => {
    const dropLate: http.RequestListener = (_request, response) =>
      void setTimeout(() => response.destroy(), 250);
    await withHop(dropLate, async hop => {
      await Promise.all([hop.send('a'), hop.send('b')]);
      const lines = [await hop.lineOf('a'), await hop.lineOf('b')];
      const [first, second] = lines.sort(
        (a, b) => Number(a['waitedMs']) - Number(b['waitedMs']),
      );
      expect(first).to.include({
        reason: 'connection_lost',
        outcome: 'unknown',
      });
      expect(first!['ranMs']).to.be.within(240, 600);
      expect(second!['waitedMs']).to.be.within(200, 600);
    });
  });
});
