import {SeededRandom} from '@carobseam/core.clock';
import type {RandomSource} from '@carobseam/core.types';
import {wireHeaders} from '@carobseam/platform.adapter';
import {
  runLeavingCallers,
  startThreadedWorker,
  type LeavingCallerReport,
} from '@carobseam/testing.fixtures';
import {expect} from 'chai';
import {
  allocatePorts,
  createSnapshot,
  createWorkerEntry,
  FakeSource,
  startRelay,
} from './relay_fixtures.js';

const WORK_MS = 4; // of the relay for each placement of a request
const CALLERS = 300; // take twice the deadline to be worked off
const DEADLINE_MS = 500;
const LATE_MS = 500; // from which work for a caller that has left counts
const MAX_LATE = 3;
const WORKER_WORK_MS = 20;

/** A random source, asked for each placement, that uses up processor time. */
class CostlyRandom implements RandomSource {
  readonly #random = new SeededRandom(5);

  nextFloat(): number {
    const endMs = performance.now() + WORK_MS / 2;
    while (performance.now() < endMs) {
      // Uses the processor.
    }
    return this.#random.nextFloat();
  }

  nextInt(limit: number): number {
    return this.#random.nextInt(limit);
  }
}

interface Play {
  callers: LeavingCallerReport[];
  /** When each request reached a worker, in ms since the epoch. */
  arrivals: Map<string, number>;
}

/**
 * Lets many callers send a request to one relay at the same moment, which sends
 * them to the worker of the last one of `relayCount` relays.
 */
async function play(relayCount: 1 | 2): Promise<Play> {
  const workers = await Promise.all(
    ['127.0.0.81', '127.0.0.82'].slice(0, relayCount).map(host =>
      startThreadedWorker({
        host,
        requestIdHeader: wireHeaders.requestId,
        signatureHeader: wireHeaders.workerSignature,
        workMs: WORKER_WORK_MS,
      }),
    ),
  );
  const ports = allocatePorts();
  const entry = {...createWorkerEntry(workers.at(-1)!, 'i-last'), slots: 100};
  const source = () => new FakeSource(createSnapshot([entry]));
  const relays = await Promise.all(
    workers.map(worker =>
      startRelay(worker, ports, source(), undefined, new CostlyRandom()),
    ),
  );
  const callers = await runLeavingCallers({
    host: '127.0.0.81',
    port: ports[0]!,
    count: CALLERS,
    head:
      'GET /read/a HTTP/1.1\r\nHost: hints.example\r\n' +
      `${wireHeaders.deadlineMs}: ${DEADLINE_MS}\r\n`,
    requestIdHeader: wireHeaders.requestId,
    leaveAfterMs: DEADLINE_MS,
  });
  // What lies in the sockets of the relay is read after the last caller has left.
  await new Promise(resolve => setTimeout(resolve, CALLERS * WORK_MS * 2));
  relays.forEach(relay => relay.close());
  const arrivals = await Promise.all(workers.map(worker => worker.close()));
  return {callers, arrivals: arrivals.at(-1)!};
}

function lateArrivals({callers, arrivals}: Play): number {
  return callers.filter(
    ({id, leftAtMs}) =>
      leftAtMs !== undefined && (arrivals.get(id) ?? 0) - leftAtMs > LATE_MS,
  ).length;
}

for (const relayCount of [1, 2] as const) {
  describe(`relay short of processor time, ${relayCount} on the way`, function () {
    this.timeout(30_000);

    it('guards against sending on requests whose callers have left', async () => {
      const result = await play(relayCount);
      expect(result.callers.some(({leftAtMs}) => leftAtMs)).to.equal(true);
      expect(lateArrivals(result)).to.be.at.most(MAX_LATE);
    });
  });
}
