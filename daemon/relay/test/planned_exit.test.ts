import {encodeHopRequest, hopHeaders, WorkerGate} from '@carobseam/calls.relay';
import type {WorkerId} from '@carobseam/config.mesh';
import {ManualClock, SystemClock} from '@carobseam/core.clock';
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
  type ReceivedRequest,
} from './relay_fixtures.js';

const HOST = '127.0.0.2';
const GRACE_MS = 4000;
const UNBROKEN_MS = (GRACE_MS * 5) / 6;

async function withRelay(
  run: (fixture: {
    relay: Awaited<ReturnType<typeof startRelay>>['relay'];
    clock: ManualClock;
    worker: FakeWorker;
    ports: number[];
  }) => Promise<void>,
  handle: (request: ReceivedRequest) => void = () => {},
): Promise<void> {
  const clock = new ManualClock();
  const worker = await startWorker(HOST, handle);
  const ports = allocatePorts();
  const snapshot = createSnapshot([createWorkerEntry(worker, 'i-0')]);
  snapshot.config!.routes.forEach(route => (route.timeoutMs = 10_000));
  const {relay, close} = await startRelay(
    worker,
    ports,
    new FakeSource(snapshot),
    clock,
  );
  try {
    await run({relay, clock, worker, ports});
  } finally {
    close();
    await worker.close();
  }
}

async function untilRequestRuns(worker: FakeWorker): Promise<void> {
  for (let turn = 0; turn < 100 && worker.requests.length === 0; turn++) {
    await sleep(5);
  }
}

describe('planned exit of a relay', () => {
  it('guards against cutting a call that was taken while the hop connections end', async () => {
    await withRelay(async ({relay, clock, worker, ports}) => {
      // A peer that is slow to close its idle connection keeps `retire` waiting.
      const peer = net.connect({
        host: HOST,
        port: ports[1]!,
        allowHalfOpen: true,
      });
      await new Promise(resolve => peer.once('connect', resolve));
      await sleep(20);
      const retired = new Promise(resolve => peer.once('data', resolve));
      const drained = relay.drain().then(() => relay.close());
      await sleep(20);
      clock.jump(2600);
      clock.advance(0);
      await retired;
      const result = call({
        host: HOST,
        port: ports[0]!,
        path: '/buy/1',
        deadlineMs: 600,
      }).then(
        ({status}) => String(status),
        error => String(error),
      );
      await Promise.race([result, untilRequestRuns(worker)]);
      clock.advance(200);
      await drained;
      setTimeout(() => worker.requests.forEach(respond), 50);
      peer.destroy();
      const isRefused = worker.requests.length === 0;
      expect(await result).to.equal(isRefused ? '503' : '200');
    });
  });

  it('guards against an earliest time of a signal that lies after its sending', async () => {
    const clock = new SystemClock();
    const monitor = new EventLoopMonitor({
      clock,
      logger: silentLogger,
      metrics: new Metrics(),
    });
    let sentMs = Infinity;
    const handled = new Promise<number>(resolve =>
      process.once('SIGUSR2', () => resolve(monitor.earliestSignalMs)),
    );
    await sleep(10);
    const startMs = clock.monotonicMs();
    monitor.start();
    const blockWithSignal = () => {
      sentMs = clock.monotonicMs();
      process.kill(process.pid, 'SIGUSR2');
      while (clock.monotonicMs() < startMs + 265) {
        // One turn that ends shortly after the check is due.
      }
    };
    setTimeout(() => setImmediate(blockWithSignal), 20);
    const earliestMs = await handled;
    monitor.close();
    expect(earliestMs).to.be.at.most(sentMs);
  });

  for (const blockedMs of [350, 900]) {
    it(`guards against breaking off a request before the last sixth after a signal at the end of a delay of ${blockedMs} ms`, async () => {
      await withRelay(async ({relay, clock, worker, ports}) => {
        const monitor = new EventLoopMonitor({
          clock,
          logger: silentLogger,
          metrics: new Metrics(),
        });
        monitor.start();
        let status: number | undefined;
        void call({
          host: HOST,
          port: ports[0]!,
          path: '/buy/1',
          deadlineMs: 60_000,
        }).then(
          result => (status = result.status),
          () => (status = 0),
        );
        await untilRequestRuns(worker);
        clock.advance(1000);
        clock.jump(blockedMs);
        // Sent now, handled at once.
        void relay.drain(monitor.earliestSignalMs).then(() => relay.close());
        await sleep(20);
        clock.jump(UNBROKEN_MS - 20);
        clock.advance(0);
        await sleep(100);
        expect(status).to.equal(undefined);
      });
    });
  }

  it('guards against starting a request shortly before the exit that was submitted after the begin of a drain', async () => {
    const clock = new ManualClock();
    const worker = await startWorker(HOST, () => {});
    const gate = new WorkerGate({
      clock,
      workerAddress: worker.address,
      connectTimeoutMs: 500,
      idleTtlMs: 4000,
      maxIdle: 4,
      drainMs: 2000,
      isGone: () => false,
      onConnection: () => {},
    });
    const submit = () =>
      gate.submit({
        worker: 'i-0' as WorkerId,
        isIdempotent: false,
        scheduling: {
          rank: 1,
          isLastCallerAttempt: true,
          dueAtMs: 10_000, // of a request that was taken before the signal
          expiresAtMs: 10_000,
        },
        method: 'GET',
        url: '/',
        headers: ['Host', 'a.example'],
        body: Buffer.alloc(0),
      }).result;
    gate.prepareExit(3400);
    clock.advance(3390);
    void submit();
    await sleep(100);
    const runs = worker.requests.length;
    gate.close();
    await worker.close();
    expect(runs).to.equal(0);
  });

  for (const method of ['GET', 'HEAD']) {
    it(`guards against a refusal that replaces the answer to a hop that was run, ${method}`, async () => {
      await withRelay(async ({relay, clock, worker, ports}) => {
        const peer = net.connect({host: HOST, port: ports[1]!});
        let received = '';
        peer.on('data', chunk => (received += chunk.toString()));
        peer.on('end', () => peer.end());
        peer.on('error', () => {});
        const closed = new Promise(resolve => peer.once('close', resolve));
        await new Promise(resolve => peer.once('connect', resolve));
        // An idle connection that is not closed keeps `retire` waiting.
        const idle = net.connect({
          host: HOST,
          port: ports[1]!,
          allowHalfOpen: true,
        });
        await new Promise(resolve => idle.once('connect', resolve));
        const head = (id: string) =>
          [
            `${method} /buy/${id} HTTP/1.1`,
            'Host: hints.example',
            `${wireHeaders.requestId}: id-${id}`,
            `${hopHeaders.request}: ${encodeHopRequest({
              worker: 'i-0' as WorkerId,
              isIdempotent: false,
              rank: 1,
              isLastCallerAttempt: false,
              dueInMs: 8000,
              expiresInMs: 9000,
            })}`,
            '\r\n',
          ].join('\r\n');
        peer.write(head('1'));
        await untilRequestRuns(worker);
        // Only a part of the next head is read before the end.
        peer.write(head('2').slice(0, 30));
        const drained = relay.drain().then(() => relay.close());
        await sleep(20);
        clock.jump(GRACE_MS - 400);
        clock.advance(0);
        await sleep(5);
        worker.requests.forEach(respond);
        await sleep(50);
        peer.write(head('2').slice(30));
        await sleep(50);
        clock.advance(300);
        await Promise.all([drained, closed]);
        const statuses = [...received.matchAll(/HTTP\/1.1 (\d+)/g)].map(
          match => match[1],
        );
        expect(worker.requests).to.have.length(1);
        idle.destroy();
        const finalStatuses = statuses.filter(status => status !== '102');
        expect(finalStatuses).to.deep.equal(['200', '503']);
      });
    });
  }

  it('guards against a refusal at the exit that lacks the rate limit of the worker', async () => {
    const respondWithLimit = ({headers, response}: ReceivedRequest) => {
      response.writeHead(200, {
        [wireHeaders.requestId]: headers[wireHeaders.requestId]!,
        [wireHeaders.workerSignature]: 'signature',
        [wireHeaders.workerRateLimit]: '7',
      });
      response.end('ran');
    };
    await withRelay(async ({relay, clock, ports}) => {
      const peer = net.connect({host: HOST, port: ports[1]!});
      let received = '';
      peer.on('data', chunk => (received += chunk.toString()));
      peer.on('end', () => peer.end());
      const closed = new Promise(resolve => peer.once('close', resolve));
      await new Promise(resolve => peer.once('connect', resolve));
      const hop = encodeHopRequest({
        worker: 'i-0' as WorkerId,
        isIdempotent: true,
        rank: 1,
        isLastCallerAttempt: false,
        dueInMs: 8000,
        expiresInMs: 9000,
      });
      peer.write(
        'GET /read/1 HTTP/1.1\r\nHost: hints.example\r\n' +
          `${wireHeaders.requestId}: id-1\r\n${hopHeaders.request}: ${hop}\r\n\r\n`,
      );
      await sleep(50);
      const pattern = new RegExp(`^${hopHeaders.statement}: 0;7;`, 'gim');
      expect(received.match(pattern)).to.have.length(1);
      const drained = relay.drain().then(() => relay.close());
      await sleep(20);
      clock.jump(2600);
      clock.advance(0);
      await Promise.all([drained, closed]);
      expect(received).to.include('relayLeaves');
      expect(received.match(pattern)).to.have.length(2);
    }, respondWithLimit);
  });
});
