import {ReadDelayProbe} from '@carobseam/calls.relay';
import {SystemClock} from '@carobseam/core.clock';
import {expect} from 'chai';
import {once} from 'node:events';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {epochMs, runLeavingCallers} from '@carobseam/testing.fixtures';

const HOST = '127.0.0.1';

interface ProbedServer {
  probe: ReadDelayProbe;
  port: number;
  /** Delays that the probe measured, in ms. */
  delaysMs: number[];
  /** Estimated delay and time of each caller's request that was read. */
  read: Map<string, {delayMs: number; atMs: number}>;
  close(): void;
}

/** Starts a server that takes `workMs` of processor time for each request. */
async function startProbedServer(workMs: number): Promise<ProbedServer> {
  const delaysMs: number[] = [];
  const read: ProbedServer['read'] = new Map();
  const server = http.createServer((request, response) => {
    if (probe.respond(request, response)) {
      return;
    }
    const delayMs = probe.delayOf(request);
    read.set(request.headers['x-id'] as string, {delayMs, atMs: epochMs()});
    const endMs = performance.now() + workMs;
    while (performance.now() < endMs) {
      // Uses the processor.
    }
    response.end();
  });
  server.listen(0, HOST, 1024);
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const probe = new ReadDelayProbe({
    clock: new SystemClock(),
    host: HOST,
    port,
    onDelay: delayMs => delaysMs.push(delayMs),
  });
  server.on('connection', socket => probe.connectionAccepted(socket));
  const close = () => {
    probe.close();
    server.closeAllConnections();
    server.close();
  };
  return {probe, port, delaysMs, read, close};
}

const callersOf = (
  {port}: ProbedServer,
  count: number,
  writtenCount?: Int32Array,
) =>
  runLeavingCallers({
    host: HOST,
    port,
    count,
    head: 'GET / HTTP/1.1\r\nHost: a.example\r\n',
    requestIdHeader: 'x-id',
    leaveAfterMs: 5000,
    writtenCount,
  });

/** Blocks this thread until the callers have written their requests. */
function waitUntilWritten(writtenCount: Int32Array, count: number): void {
  for (;;) {
    const written = Atomics.load(writtenCount, 0);
    if (written >= count) {
      return;
    }
    Atomics.wait(writtenCount, 0, written);
  }
}

describe('ReadDelayProbe', () => {
  it('guards against missing the wait of connections that are accepted one by one', async () => {
    const server = await startProbedServer(4);
    const writtenCount = new Int32Array(new SharedArrayBuffer(4));
    const called = callersOf(server, 200, writtenCount);
    waitUntilWritten(writtenCount, 200);
    const readableMs = epochMs();
    const reports = await called;
    server.close();
    const late = reports.flatMap(({id}) => {
      const {delayMs, atMs} = server.read.get(id)!;
      const waitMs = atMs - readableMs;
      return waitMs > 400 ? [{delayMs, waitMs}] : [];
    });
    expect(late.length).to.be.greaterThan(20);
    for (const {delayMs, waitMs} of late) {
      expect(delayMs).to.be.within(waitMs / 2, waitMs * 1.5);
    }
  });

  it('makes no probe while the event loop has idle time', async () => {
    const server = await startProbedServer(0);
    for (let count = 0; count < 10; count++) {
      await callersOf(server, 1);
    }
    server.close();
    expect(server.delaysMs).to.deep.equal([]);
    const readDelaysMs = [...server.read.values()].map(({delayMs}) => delayMs);
    expect(Math.max(...readDelaysMs)).to.be.lessThan(5);
  });
});
