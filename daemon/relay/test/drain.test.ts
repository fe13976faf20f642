import type {MeshSnapshot, MeshWorker} from '@carobseam/config.mesh';
import {ManualClock} from '@carobseam/core.clock';
import {silentLogger} from '@carobseam/core.logger';
import {Metrics} from '@carobseam/core.metrics';
import {EventLoopMonitor} from '@carobseam/daemon.relay';
import {wireHeaders} from '@carobseam/platform.adapter';
import {expect} from 'chai';
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  allocatePorts,
  call,
  createSnapshot,
  createWorkerEntry,
  FakeSource,
  respond,
  startRelay,
  startWorker,
  type FakeWorker,
  type RunningRelay,
} from './relay_fixtures.js';

const HOST = '127.0.0.1';
const MIN_DRAIN_MS = 2600;
const REFUSE_AFTER_MS = 3000;
const ROUTE_TIMEOUT_MS = 10_000; // longer than the grace time
const LATE_SIGNAL_MS = 450; // delay of the event loop when the signal comes
const VERY_LATE_SIGNAL_MS = 900;
const OWN_CALL_MS = 600; // deadline of a call that a worker makes
const GRACE_MS = 4000; // of the relay under test
const LAST_UNBROKEN_MS = 3200; // shortly before the last sixth of the grace time

/** A relay whose worker does not respond by itself. */
interface DrainFixture {
  relay: RunningRelay['relay'];
  clock: ManualClock;
  worker: FakeWorker;
  entry: MeshWorker;
  ports: number[];
  port: number;
  call: (path: string) => ReturnType<typeof call>;
  /**
   * Lets time pass while the event loop is blocked: due timers run before data
   * that was sent meanwhile is read.
   */
  stall: (durationMs: number, whileBlocked?: () => void) => Promise<void>;
}

async function withDrain(
  run: (fixture: DrainFixture) => Promise<void>,
): Promise<void> {
  const clock = new ManualClock();
  const worker = await startWorker(HOST, () => {});
  const ports = allocatePorts();
  const entry = createWorkerEntry(worker, 'i-0');
  const source = new FakeSource(createLongSnapshot([entry]));
  const {relay, close} = await startRelay(worker, ports, source, clock);
  const stall: DrainFixture['stall'] = (durationMs, whileBlocked = () => {}) =>
    new Promise(resolve => {
      setTimeout(() => {
        whileBlocked();
        clock.jump(durationMs);
        clock.advance(0);
        resolve();
      });
    });
  const port = ports[0]!;
  const callRelay: DrainFixture['call'] = path =>
    call({host: HOST, port, path, deadlineMs: 60_000});
  try {
    await run({
      relay,
      clock,
      worker,
      entry,
      ports,
      port,
      call: callRelay,
      stall,
    });
  } finally {
    close();
    await worker.close();
  }
}

/** Creates a snapshot whose routes have a long timeout. */
function createLongSnapshot(workers: readonly MeshWorker[]): MeshSnapshot {
  const snapshot = createSnapshot(workers);
  snapshot.config!.routes.forEach(route => {
    route.timeoutMs = ROUTE_TIMEOUT_MS;
  });
  return snapshot;
}

/** Starts a relay that forwards requests to the worker of the relay under test. */
async function withEntryRelay(
  {entry, ports, clock}: DrainFixture,
  run: (entryRelay: Pick<DrainFixture, 'relay' | 'call'>) => Promise<void>,
): Promise<void> {
  const host = '127.0.0.2';
  const port = ports[0]!;
  const worker = await startWorker(host);
  const source = new FakeSource(createLongSnapshot([entry]));
  const {relay, close} = await startRelay(worker, ports, source, clock);
  try {
    await run({
      relay,
      call: path => call({host, port, path, deadlineMs: 60_000}),
    });
  } finally {
    close();
    await worker.close();
  }
}

async function untilRequestRuns(worker: FakeWorker, count = 1): Promise<void> {
  for (let turn = 0; turn < 100 && worker.requests.length < count; turn++) {
    await sleep(5);
  }
}

/** Opens a connection of a caller and collects what it receives. */
async function connect(port: number) {
  const socket = net.connect({host: HOST, port});
  const chunks: Buffer[] = [];
  socket.on('data', chunk => chunks.push(chunk));
  socket.on('error', () => {}); // a reset shows in the missing response
  const closed = new Promise(resolve => socket.once('close', resolve));
  await new Promise(resolve => socket.once('connect', resolve));
  await sleep(20);
  const received = () => Buffer.concat(chunks).toString();
  return {socket, closed, received};
}

const REQUEST = [
  'GET /read/1 HTTP/1.1',
  'Host: hints.example',
  `${wireHeaders.requestId}: id-1`,
  `${wireHeaders.deadlineMs}: 60000`,
  '\r\n',
].join('\r\n');

describe('draining relay', () => {
  it("guards against a 504 in place of a response that came before the route's timeout", async () => {
    await withDrain(async ({worker, call: callRelay, stall}) => {
      const result = callRelay('/buy/1');
      await untilRequestRuns(worker);
      await stall(ROUTE_TIMEOUT_MS, () => respond(worker.requests[0]!));
      expect((await result).status).to.equal(200);
    });
  });

  it('guards against a 504 in place of a response that came before the exit', async () => {
    await withDrain(async ({relay, worker, call: callRelay, stall}) => {
      const drained = relay.drain().then(() => relay.close());
      await stall(2300);
      const result = callRelay('/buy/1');
      await untilRequestRuns(worker);
      await stall(GRACE_MS - 2300, () => respond(worker.requests[0]!));
      expect((await result).status).to.equal(200);
      await drained;
    });
  });

  it('guards against closing a connection whose request was not read in time', async () => {
    await withDrain(async ({relay, worker, port, stall}) => {
      const {socket, closed, received} = await connect(port);
      const drained = relay.drain().then(() => relay.close());
      await stall(MIN_DRAIN_MS, () => socket.write(REQUEST));
      await sleep(20);
      await stall(100);
      await closed;
      expect(received()).to.match(/^HTTP\/1.1 503 [^]*Retry-After: /);
      expect(worker.requests).to.have.length(0);
      await drained;
    });
  });

  it('guards against taking a request late because a timer is late', async () => {
    await withDrain(async ({relay, clock, worker, call: callRelay}) => {
      void relay.drain();
      await sleep(20);
      clock.jump(REFUSE_AFTER_MS);
      const result = callRelay('/buy/1');
      await Promise.race([result, untilRequestRuns(worker)]);
      expect(worker.requests).to.have.length(0);
      const {status, headers} = await result;
      expect(status).to.equal(503);
      expect(Number(headers['retry-after'])).to.be.above(0);
    });
  });

  it('guards against taking a request later than 3 s after a signal that was handled late', async () => {
    await withDrain(async ({relay, clock, worker, call: callRelay}) => {
      void relay.drain();
      await sleep(20);
      clock.jump(REFUSE_AFTER_MS - LATE_SIGNAL_MS);
      const result = callRelay('/buy/1');
      await Promise.race([result, untilRequestRuns(worker)]);
      expect(worker.requests).to.have.length(0);
      expect((await result).status).to.equal(503);
    });
  });

  it('guards against being killed with a request in flight after a signal that was handled late', async () => {
    await withDrain(async ({relay, worker, call: callRelay, stall}) => {
      const result = callRelay('/buy/1');
      await untilRequestRuns(worker);
      const drained = relay.drain().then(() => relay.close());
      await sleep(20);
      await stall((GRACE_MS * 5) / 6);
      await sleep(40);
      expect(worker.requests[0]!.response.destroyed).to.equal(false);
      await stall(GRACE_MS / 6 - LATE_SIGNAL_MS);
      expect((await result).status).to.equal(504);
      await Promise.race([drained, sleep(200).then(() => expect.fail('runs'))]);
    });
  });

  it('guards against taking a request whose body is read late', async () => {
    await withDrain(async ({relay, clock, worker, port}) => {
      const {socket, closed, received} = await connect(port);
      socket.write(REQUEST.replace(/\r\n$/, 'Content-Length: 2\r\n\r\na'));
      await sleep(20);
      void relay.drain();
      await sleep(20);
      clock.jump(REFUSE_AFTER_MS);
      socket.write('b');
      await Promise.race([closed, untilRequestRuns(worker)]);
      expect(worker.requests).to.have.length(0);
      expect(received()).to.match(/^HTTP\/1.1 503 /);
    });
  });

  it('guards against closing the connection of a request that is queued for the worker', async () => {
    await withDrain(async fixture => {
      const {relay, worker, entry, clock, ports, stall} = fixture;
      const peerWorker = await startWorker('127.0.0.2');
      const peerSource = new FakeSource(createLongSnapshot([entry]));
      const peer = await startRelay(peerWorker, ports, peerSource, clock);
      const callPeer = () =>
        call({
          host: '127.0.0.2',
          port: ports[0]!,
          path: '/buy/1',
          deadlineMs: 60_000,
        });
      const running = Array.from({length: entry.slots}, callPeer);
      await untilRequestRuns(worker, entry.slots);
      const queued = callPeer();
      await sleep(50);
      const drained = relay.drain().then(() => relay.close());
      await sleep(20);
      await stall(GRACE_MS - LATE_SIGNAL_MS);
      await drained;
      expect((await queued).status).to.equal(503);
      expect(worker.requests).to.have.length(entry.slots);
      await Promise.all(running);
      peer.close();
      await peerWorker.close();
    });
  });

  const lateSignals: Record<string, (clock: ManualClock) => void> = {
    'before timers run': () => {},
    'after timers have run': clock => clock.advance(0),
  };
  for (const [order, runTimers] of Object.entries(lateSignals)) {
    const startLate = async (fixture: DrainFixture) => {
      const {clock, relay} = fixture;
      const metrics = new Metrics();
      const monitor = new EventLoopMonitor({
        clock,
        logger: silentLogger,
        metrics,
      });
      monitor.start();
      clock.advance(1000);
      clock.jump(VERY_LATE_SIGNAL_MS);
      runTimers(clock);
      const drained = relay
        .drain(monitor.earliestSignalMs)
        .then(() => relay.close());
      await sleep(20);
      return drained;
    };

    it(`guards against taking a request later than 3 s after a signal that was handled 900 ms late, ${order}`, async () => {
      await withDrain(async fixture => {
        const {clock, worker, call: callRelay} = fixture;
        void startLate(fixture);
        await sleep(20);
        clock.jump(REFUSE_AFTER_MS - VERY_LATE_SIGNAL_MS);
        const result = callRelay('/buy/1');
        await Promise.race([result, untilRequestRuns(worker)]);
        expect(worker.requests).to.have.length(0);
        expect((await result).status).to.equal(503);
      });
    });
  }

  it('guards against starting a queued request that cannot complete before the exit', async () => {
    await withDrain(async fixture => {
      const {relay, worker, entry, stall} = fixture;
      await withEntryRelay(fixture, async entryRelay => {
        const callAll = (count: number) =>
          Array.from({length: count}, () => entryRelay.call('/buy/1'));
        const running = callAll(entry.slots);
        await untilRequestRuns(worker, entry.slots);
        const [queued] = callAll(1);
        await sleep(50);
        const drained = relay.drain().then(() => relay.close());
        await sleep(20);
        await stall(1000);
        void entryRelay.relay.drain();
        await stall(LAST_UNBROKEN_MS - 1000);
        worker.requests.forEach(respond);
        await Promise.all(running);
        await sleep(50);
        await stall(GRACE_MS - LAST_UNBROKEN_MS);
        await drained;
        const {status} = await queued!;
        const runs = worker.requests.length;
        expect({status, runs}).to.deep.equal({status: 503, runs: entry.slots});
      });
    });
  });

  it('guards against refusing the calls of a worker whose requests it still lets complete', async () => {
    await withDrain(async ({relay, clock, worker, port, call: callRelay}) => {
      const result = callRelay('/buy/1');
      await untilRequestRuns(worker);
      void relay.drain();
      await sleep(20);
      clock.jump(REFUSE_AFTER_MS - LATE_SIGNAL_MS);
      const ownCall = call({
        host: HOST,
        port,
        path: '/read/1',
        deadlineMs: OWN_CALL_MS,
      });
      await untilRequestRuns(worker, 2);
      worker.requests.forEach(respond);
      expect((await ownCall).status).to.equal(200);
      expect((await result).status).to.equal(200);
    });
  });

  it('guards against taking a call that could be cut by the exit', async () => {
    await withDrain(async ({relay, clock, worker, port}) => {
      void relay.drain();
      await sleep(20);
      clock.jump(REFUSE_AFTER_MS);
      const ownCall = {host: HOST, port, path: '/read/1'};
      const {status} = await call({...ownCall, deadlineMs: OWN_CALL_MS});
      expect(status).to.equal(503);
      expect(worker.requests).to.have.length(0);
    });
  });
});
