import {runLeavingCallers} from '@carobseam/testing.fixtures';
import {expect} from 'chai';
import http from 'node:http';
import {setImmediate} from 'node:timers/promises';
import {pause, ProxyHarness, sendCall} from './proxy_harness.js';

const CALLERS = 20;

/** Blocks the event loop until callers have written their requests. */
function blockUntilWritten(writtenCount: Int32Array, count: number): void {
  for (;;) {
    const written = Atomics.load(writtenCount, 0);
    if (written >= count) {
      return;
    }
    Atomics.wait(writtenCount, 0, written);
  }
}

function blockFor(durationMs: number): void {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs) {
    // Blocks the event loop.
  }
}

describe('CallServer that shuts down', () => {
  let harness: ProxyHarness;

  beforeEach(() => {
    harness = new ProxyHarness();
  });

  afterEach(() => harness.close());

  it('guards against closing a kept connection whose request was not read in time', async () => {
    const upstream = await harness.startUpstream((_req, res) => res.end('ok'));
    const a = await harness.startDaemon(upstream, {id: 'vm-a'});
    const agent = new http.Agent({keepAlive: true, maxSockets: 1});
    expect((await sendCall(a.port, {agent})).body).to.equal('ok');
    await pause(20);
    a.blackboard.write('lifecycle', 'leaving');
    void a.server.close();
    await setImmediate(); // timers run next, and then the reads
    const call = sendCall(a.port, {agent});
    await new Promise<void>(resolve => process.nextTick(resolve));
    blockFor(100);
    const {status, headers} = await call;
    expect(status).to.equal(503);
    expect(headers['x-carobseam-reason']).to.equal('leaving');
    agent.destroy();
  });

  it('guards against closing new connections whose requests were not read in time', async () => {
    const upstream = await harness.startUpstream((_req, res) => res.end('ok'));
    const a = await harness.startDaemon(upstream, {id: 'vm-a'});
    const writtenCount = new Int32Array(new SharedArrayBuffer(4));
    const reports = runLeavingCallers({
      host: '127.0.0.1',
      port: a.port,
      count: CALLERS,
      head: 'GET /hints/reveal/1 HTTP/1.1\r\nHost: hints\r\n',
      requestIdHeader: 'x-request-id',
      leaveAfterMs: 2000,
      writtenCount,
    });
    a.blackboard.write('lifecycle', 'leaving');
    void a.server.close();
    blockUntilWritten(writtenCount, CALLERS);
    blockFor(50);
    const statuses = (await reports).map(({status}) => status);
    expect(statuses).to.deep.equal(Array(CALLERS).fill(503));
  });
});
