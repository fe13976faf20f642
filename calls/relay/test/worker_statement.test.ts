import {
  WorkerGate,
  type GateRequest,
  type GateResult,
  type WorkerStatement,
} from '@carobseam/calls.relay';
import type {MeshWorker, WorkerId} from '@carobseam/config.mesh';
import {SystemClock} from '@carobseam/core.clock';
import {wireHeaders} from '@carobseam/platform.adapter';
import {expect} from 'chai';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {createWorker} from './route_fixture.js';

const DRAIN_MS = 500;
const SEAL = {[wireHeaders.workerSignature]: 'seal'};
const LIMITED = {...SEAL, [wireHeaders.workerRateLimit]: '10'};
const LEAVING = {...SEAL, [wireHeaders.workerLeaving]: '1'};

interface Response {
  status?: number;
  headers?: http.OutgoingHttpHeaders;
  /** Sends a head with these headers and breaks off. */
  isBrokenOff?: boolean;
}

interface Harness {
  gate: WorkerGate;
  worker: MeshWorker;
  statements: WorkerStatement[];
  /** Workers whose entries were removed. */
  goneIds: Set<WorkerId>;
  /** Times at which requests reached the worker, in ms. */
  arrivals: number[];
  /** The worker's next responses; the last one is repeated. */
  responses: Response[];
  submit: (overrides?: Partial<GateRequest>) => Promise<GateResult>;
}

/** Runs a gate in front of a worker whose responses the test determines. */
async function withGate(
  run: (harness: Harness) => Promise<void>,
): Promise<void> {
  const arrivals: number[] = [];
  const responses: Response[] = [{}];
  const server = http.createServer((request, response) => {
    request.resume();
    arrivals.push(performance.now());
    const next = responses.length > 1 ? responses.shift()! : responses[0]!;
    response.writeHead(next.status ?? 200, next.headers ?? SEAL);
    if (next.isBrokenOff) {
      response.write('part', () => response.destroy());
    } else {
      response.end();
    }
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const worker = {...createWorker(address), slots: 20, bornMs: 1};
  const clock = new SystemClock();
  const statements: WorkerStatement[] = [];
  const goneIds = new Set<WorkerId>();
  const gate = new WorkerGate({
    clock,
    workerAddress: address,
    connectTimeoutMs: 500,
    idleTtlMs: 4000,
    maxIdle: 4,
    drainMs: DRAIN_MS,
    isGone: id => id === 'i-old' || goneIds.has(id),
    onConnection: () => {},
    onStatement: (_id, statement) => statements.push(statement),
  });
  gate.setWorker(worker);
  const submit = (overrides: Partial<GateRequest> = {}) =>
    gate.submit({
      worker: worker.id,
      isIdempotent: true,
      scheduling: {
        rank: 1,
        isLastCallerAttempt: false,
        dueAtMs: clock.monotonicMs() + 600,
        expiresAtMs: clock.monotonicMs() + 1500,
      },
      method: 'GET',
      url: '/',
      headers: ['Host', 'a.example'],
      body: Buffer.alloc(0),
      ...overrides,
    }).result;
  try {
    await run({gate, worker, statements, goneIds, arrivals, responses, submit});
  } finally {
    gate.close();
    await new Promise<void>(resolve => {
      server.close(() => resolve());
      server.closeAllConnections();
    });
  }
}

describe('WorkerGate, statements of the worker', () => {
  it('guards against sending a worker more than the limit that it states', async () => {
    await withGate(async ({responses, arrivals, submit}) => {
      responses[0] = {headers: LIMITED};
      await submit();
      const results = await Promise.all(
        Array.from({length: 30}, () => submit()),
      );
      const refused = results.filter(({verdict}) => verdict === 'notSent');
      expect(arrivals.length).to.be.at.most(1 + 6);
      expect(refused.length).to.equal(31 - arrivals.length);
      for (const {reason, retryAfterMs, waitedMs} of refused) {
        expect(reason).to.equal('wouldBeLate');
        expect(retryAfterMs).to.be.above(300);
        expect(waitedMs).to.be.below(50);
      }
    });
  });

  it('guards against a limit that outlives the responses that state it', async () => {
    await withGate(async ({gate, responses, statements, submit}) => {
      responses.unshift({headers: LIMITED});
      await submit();
      expect(gate.load.rateLimit?.perS).to.equal(10);
      await submit();
      expect(gate.load.rateLimit).to.equal(undefined);
      expect(statements.map(({rateLimitPerS}) => rateLimitPerS)).to.deep.equal([
        10,
        undefined,
      ]);
    });
  });

  const statingResponses: Array<[string, Response]> = [
    ['a refusal', {status: 503, headers: {[wireHeaders.notExecuted]: '1'}}],
    ['a failure', {status: 500}],
    ['a response that is broken off', {isBrokenOff: true}],
  ];
  for (const [name, response] of statingResponses) {
    it(`guards against missing what ${name} states`, async () => {
      await withGate(async ({gate, responses, submit}) => {
        const headers = {...response.headers, ...LIMITED, ...LEAVING};
        responses[0] = {...response, headers};
        const result = await submit();
        expect(gate.load.rateLimit?.perS).to.equal(10);
        expect(result.isWorkerLeaving).to.equal(true);
      });
    });
  }

  it('guards against lifting a limit for a response without a signature', async () => {
    await withGate(async ({gate, responses, submit}) => {
      responses[0] = {headers: LIMITED};
      await submit();
      responses[0] = {status: 503, headers: {}};
      await submit();
      expect(gate.load.rateLimit?.perS).to.equal(10);
    });
  });

  it('guards against a limit of a worker that used the address before', async () => {
    await withGate(async ({gate, worker, responses, submit}) => {
      responses[0] = {headers: {...LIMITED, ...LEAVING}};
      await submit();
      await submit({worker: 'i-old' as WorkerId});
      gate.setWorker({...worker, id: 'i-8' as WorkerId});
      expect(gate.load.rateLimit).to.equal(undefined);
      responses[0] = {};
      const result = await submit({worker: 'i-8' as WorkerId});
      expect(result.isWorkerLeaving).to.equal(false);
    });
  });

  it('guards against a restarted relay that does not know the limit', async () => {
    await withGate(async ({gate, worker, responses, arrivals, submit}) => {
      responses[0] = {headers: LIMITED};
      const knownRateLimitPerS = 10;
      const known = Array.from({length: 20}, () =>
        submit({knownRateLimitPerS}),
      );
      gate.setWorker(worker);
      await Promise.all(known);
      expect(arrivals.length).to.be.within(1, 7);
    });
  });

  it('guards against a sender whose known limit has been lifted since', async () => {
    await withGate(async ({gate, submit}) => {
      await submit({knownRateLimitPerS: 10});
      await submit({knownRateLimitPerS: 10});
      expect(gate.load.rateLimit).to.equal(undefined);
    });
  });

  it('guards against requests to a worker that says that it leaves', async () => {
    await withGate(async ({gate, worker, responses, arrivals, submit}) => {
      responses.unshift({headers: LEAVING});
      expect((await submit()).isWorkerLeaving).to.equal(true);
      gate.setWorker(worker);
      await submit();
      await pause(DRAIN_MS * 0.3);
      const late = await submit();
      expect(late).to.deep.include({verdict: 'notSent', reason: 'leaving'});
      expect(late.isWorkerLeaving).to.equal(true);
      expect(arrivals).to.have.length(2);
    });
  });

  it('guards against refusing requests for a worker that has started again', async () => {
    await withGate(async ({gate, worker, responses, submit}) => {
      responses.unshift({headers: LEAVING});
      await submit();
      await pause(DRAIN_MS * 0.3);
      gate.setWorker({...worker, bornMs: worker.bornMs + 1});
      const result = await submit();
      expect(result.verdict).to.equal('answered');
      expect(result.isWorkerLeaving).to.equal(false);
    });
  });

  it('guards against missing that a worker leaves whose entry has lapsed', async () => {
    await withGate(async ({worker, goneIds, responses, submit}) => {
      responses[0] = {headers: LEAVING};
      const running = submit();
      goneIds.add(worker.id);
      expect((await running).isWorkerLeaving).to.equal(true);
    });
  });
});
