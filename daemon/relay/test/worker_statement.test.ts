import {splitAddress} from '@carobseam/core.net';
import {wireHeaders} from '@carobseam/platform.adapter';
import {expect} from 'chai';
import type http from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {
  allocatePorts,
  call,
  createSnapshot,
  createWorkerEntry,
  FakeSource,
  startRelay,
  startWorker,
  type CallerResult,
  type FakeWorker,
  type ReceivedRequest,
  type RunningRelay,
} from './relay_fixtures.js';

const DRAIN_MS = 2000; // as the fixture's settings have it

/** Responds like a worker that states something with each response. */
function stating(statement: http.OutgoingHttpHeaders) {
  return ({headers, response}: ReceivedRequest) => {
    response.writeHead(200, {
      [wireHeaders.requestId]: headers[wireHeaders.requestId]!,
      [wireHeaders.workerSignature]: 'signature',
      ...statement,
    });
    response.end('ran');
  };
}

interface Pair {
  /** Worker in another data centre than the caller, which states something. */
  stating: FakeWorker;
  other: FakeWorker;
  call(): Promise<CallerResult>;
  /** Replaces the relay beside the worker that states something. */
  restartRelay(): Promise<void>;
}

/** Runs two workers with their relays; callers use the relay of the other one. */
async function withPair(
  statement: http.OutgoingHttpHeaders,
  isOtherUsable: boolean,
  run: (pair: Pair) => Promise<void>,
): Promise<void> {
  const ports = allocatePorts();
  const statingWorker = await startWorker('127.0.0.1', stating(statement));
  const other = await startWorker('127.0.0.2', stating({}));
  const entries = [createWorkerEntry(statingWorker, 'i-stating', 'linz')];
  if (isOtherUsable) {
    entries.push(createWorkerEntry(other, 'i-other', 'graz'));
  }
  const start = (worker: FakeWorker): Promise<RunningRelay> =>
    startRelay(worker, ports, new FakeSource(createSnapshot(entries)));
  let statingRelay = await start(statingWorker);
  const otherRelay = await start(other);
  const {host} = splitAddress(other.address);
  let sent = 0;
  try {
    await run({
      stating: statingWorker,
      other,
      call: () =>
        call({host, port: ports[0]!, path: '/read/1', id: `id-${sent++}`}),
      restartRelay: async () => {
        statingRelay.close();
        await pause(50);
        statingRelay = await start(statingWorker);
      },
    });
  } finally {
    statingRelay.close();
    otherRelay.close();
    await Promise.all([statingWorker.close(), other.close()]);
  }
}

const statusesOf = (results: readonly CallerResult[]) =>
  results.map(({status}) => status);

describe('relay, statements of a worker', () => {
  it('guards against sending on what a limit leaves out although another worker has room', async () => {
    const limit = {[wireHeaders.workerRateLimit]: '4'};
    await withPair(limit, true, async pair => {
      while (pair.stating.requests.length === 0) {
        await pair.call();
      }
      const calls: Array<Promise<CallerResult>> = [];
      for (let count = 0; count < 60; count++) {
        calls.push(pair.call());
        await pause(20);
      }
      const results = await Promise.all(calls);
      expect(new Set(statusesOf(results))).to.deep.equal(new Set([200]));
      expect(pair.stating.requests.length).to.be.at.most(12);
    });
  });

  it('guards against a limit that a restarted relay does not know', async () => {
    const limit = {[wireHeaders.workerRateLimit]: '4'};
    await withPair(limit, false, async pair => {
      await pair.call();
      await pair.restartRelay();
      const before = pair.stating.requests.length;
      const startMs = performance.now();
      const results = await Promise.all(
        Array.from({length: 30}, () => pair.call()),
      );
      const arrived = pair.stating.requests.length - before;
      const seconds = (performance.now() - startMs) / 1000;
      expect(arrived).to.be.at.most(4 + 4 * seconds);
      const refused = results.filter(({status}) => status === 503);
      expect(refused.length).to.equal(30 - arrived);
      for (const {headers} of refused) {
        expect(Number(headers['retry-after'])).to.be.above(0.1);
      }
    });
  });

  it('guards against requests from a relay that has passed on that a worker leaves', async () => {
    const leaving = {[wireHeaders.workerLeaving]: '1'};
    await withPair(leaving, false, async pair => {
      expect((await pair.call()).status).to.equal(200);
      await pause(DRAIN_MS * 0.25);
      await pair.restartRelay();
      const before = pair.stating.requests.length;
      const results = await Promise.all([pair.call(), pair.call()]);
      expect(statusesOf(results)).to.deep.equal([503, 503]);
      expect(pair.stating.requests.length).to.equal(before);
    });
  });

  it('guards against refusals while another worker takes over from a leaving one', async () => {
    const leaving = {[wireHeaders.workerLeaving]: '1'};
    await withPair(leaving, true, async pair => {
      const results: CallerResult[] = [];
      for (let count = 0; count < 60; count++) {
        results.push(await pair.call());
        await pause(20);
      }
      expect(new Set(statusesOf(results))).to.deep.equal(new Set([200]));
      const late = pair.stating.requests.length;
      await pair.call();
      expect(pair.stating.requests.length).to.equal(late);
      expect(late).to.be.below(40);
    });
  });
});
