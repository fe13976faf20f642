import {wireHeaders} from '@carobseam/platform.adapter';
import {expect} from 'chai';
import {
  respond,
  call,
  createSnapshot,
  createWorkerEntry,
  FakeSource,
  dropConnection,
  respondNotExecuted,
  startRelay,
  startWorker,
  allocatePorts,
  type RunningRelay,
  type ReceivedRequest,
  type FakeWorker,
} from './relay_fixtures.js';

type RequestHandler = (request: ReceivedRequest) => void;

interface Mesh {
  workers: FakeWorker[];
  relays: RunningRelay[];
  ports: number[];
  /** Calls the relay of the first VM. */
  call: (
    path: string,
    overrides?: Partial<Parameters<typeof call>[0]>,
  ) => ReturnType<typeof call>;
}

async function withMesh(
  handlers: readonly RequestHandler[],
  run: (mesh: Mesh) => Promise<void>,
  dataCentres: readonly string[] = [],
): Promise<void> {
  const ports = allocatePorts();
  const workers = await Promise.all(
    handlers.map((handle, index) =>
      startWorker(`127.0.0.${index + 1}`, handle),
    ),
  );
  const entries = workers.map((worker, index) =>
    createWorkerEntry(worker, `i-${index}`, dataCentres[index]),
  );
  const relays = await Promise.all(
    workers.map(worker =>
      startRelay(worker, ports, new FakeSource(createSnapshot(entries))),
    ),
  );
  const callFirst: Mesh['call'] = (path, overrides = {}) =>
    call({host: '127.0.0.1', port: ports[0]!, path, ...overrides});
  try {
    await run({workers, relays, ports, call: callFirst});
  } finally {
    relays.forEach(relay => relay.close());
    await Promise.all(workers.map(worker => worker.close()));
  }
}

const countRuns = (workers: readonly FakeWorker[]) =>
  workers.reduce((sum, worker) => sum + worker.requests.length, 0);

describe('relay', () => {
  it('forwards to the local worker with the required headers', async () => {
    await withMesh([respond], async mesh => {
      const result = await mesh.call('/buy/1?x=2', {method: 'POST', body: 'b'});
      expect(result.status).to.equal(200);
      expect(result.body).to.equal('ran /buy/1?x=2 b');
      const {headers} = mesh.workers[0]!.requests[0]!;
      expect(headers[wireHeaders.callerService]).to.equal('desk');
      expect(headers[wireHeaders.expectedWorker]).to.equal('i-0');
      expect(headers[wireHeaders.requestId]).to.equal('id-1');
      expect(Number(headers[wireHeaders.deadlineMs])).to.be.within(1, 1500);
    });
  });

  it('forwards to a remote worker through the relay of its VM', async () => {
    await withMesh(
      [respond, respond],
      async mesh => {
        const result = await mesh.call('/read/1');
        expect(result.body).to.equal('ran /read/1 ');
        expect(mesh.workers[1]!.requests).to.have.length(1);
        expect(result.headers).to.not.have.property('x-cs-load');
        const {headers} = mesh.workers[1]!.requests[0]!;
        expect(headers).to.not.have.property('x-cs-hop');
        expect(headers[wireHeaders.callerService]).to.equal('desk');
      },
      ['linz', 'wien'],
    );
  });

  it('retries an idempotent request whose response was lost', async () => {
    let attempts = 0;
    const dropFirst: RequestHandler = request =>
      attempts++ === 0 ? dropConnection(request) : respond(request);
    await withMesh([dropFirst, dropFirst], async mesh => {
      const result = await mesh.call('/read/1');
      expect(result.status).to.equal(200);
      expect(countRuns(mesh.workers)).to.equal(2);
    });
  });

  it('guards against a retry of a non-idempotent request that may have run', async () => {
    await withMesh([dropConnection, dropConnection], async mesh => {
      const result = await mesh.call('/buy/1', {method: 'POST', body: 'b'});
      expect(result.status).to.equal(502);
      expect(countRuns(mesh.workers)).to.equal(1);
    });
  });

  it('retries a request on another worker when the first did not run it', async () => {
    let attempts = 0;
    const rejectFirst: RequestHandler = request =>
      attempts++ === 0 ? respondNotExecuted(request) : respond(request);
    await withMesh([rejectFirst, rejectFirst], async mesh => {
      const result = await mesh.call('/buy/1', {method: 'POST', body: 'b'});
      expect(result.status).to.equal(200);
    });
  });

  it('responds 503 with Retry-After when all workers reject a request', async () => {
    await withMesh([respondNotExecuted, respondNotExecuted], async mesh => {
      const result = await mesh.call('/buy/1', {method: 'POST', body: 'b'});
      expect(result.status).to.equal(503);
      const retryAfterS = Number(result.headers['retry-after']);
      expect(retryAfterS).to.be.within(0.001, 1);
    });
  });

  it('guards against delivering a response without the signature of the worker', async () => {
    const unsigned: RequestHandler = request =>
      request.response.end('not the worker');
    await withMesh([unsigned], async mesh => {
      const result = await mesh.call('/buy/1', {method: 'POST', body: 'b'});
      expect(result.status).to.equal(502);
      expect(result.body).to.equal('');
    });
  });

  it('guards against a retry after a signed refusal of a request that may have run', async () => {
    const overloaded: RequestHandler = request => {
      request.response.writeHead(503, {
        [wireHeaders.workerSignature]: 'signature',
      });
      request.response.end('overloaded');
    };
    await withMesh([overloaded], async mesh => {
      const result = await mesh.call('/buy/1', {method: 'POST', body: 'b'});
      expect(result.status).to.equal(502);
      expect(result.headers[wireHeaders.workerSignature]).to.equal(undefined);
      expect(countRuns(mesh.workers)).to.equal(1);
    });
  });

  it('delivers an error response of a worker unchanged', async () => {
    const failing: RequestHandler = request => {
      request.response.writeHead(500, {
        [wireHeaders.workerSignature]: 'signature',
      });
      request.response.end('broken');
    };
    await withMesh([failing], async mesh => {
      const result = await mesh.call('/buy/1', {method: 'POST', body: 'b'});
      expect(result.status).to.equal(500);
      expect(result.body).to.equal('broken');
    });
  });

  it('responds 404 when no route matches', async () => {
    await withMesh([respond], async mesh => {
      expect((await mesh.call('/unknown/1')).status).to.equal(404);
    });
  });

  it('guards against a final refusal for a missing route while the source does not respond', async () => {
    const ports = allocatePorts();
    const worker = await startWorker('127.0.0.1');
    const source = new FakeSource(
      createSnapshot([createWorkerEntry(worker, 'i-0')]),
    );
    source.watch = () => Promise.reject(new Error('no response'));
    const relay = await startRelay(worker, ports, source);
    const host = '127.0.0.1';
    const port = ports[0]!;
    try {
      const {status, headers} = await call({host, port, path: '/unknown/1'});
      expect(status).to.equal(503);
      expect(Number(headers['retry-after'])).to.be.within(0.1, 1);
      const served = await call({host, port, path: '/read/1'});
      expect(served.status).to.equal(200);
    } finally {
      relay.close();
      await worker.close();
    }
  });

  it('guards against work for a caller that has closed its connection', async () => {
    let closedMs = Infinity;
    const hanging: RequestHandler = request =>
      request.response.on('close', () => (closedMs = performance.now()));
    await withMesh(
      [respond, hanging],
      async mesh => {
        const caller = new AbortController();
        const result = mesh.call('/read/1', {signal: caller.signal});
        result.catch(() => {});
        await new Promise(resolve => setTimeout(resolve, 200));
        const abortedMs = performance.now();
        caller.abort();
        await new Promise(resolve => setTimeout(resolve, 300));
        expect(closedMs - abortedMs).to.be.below(500);
      },
      ['linz', 'wien'],
    );
  });

  it('responds 504 at the timeout of the route', async () => {
    await withMesh([() => {}], async mesh => {
      const startMs = performance.now();
      const result = await mesh.call('/buy/1', {method: 'POST'});
      expect(result.status).to.equal(504);
      expect(performance.now() - startMs).to.be.within(1300, 2000);
    });
  });

  it('reports that it is not ready while it drains, and completes requests in flight', async () => {
    const slow: RequestHandler = request =>
      setTimeout(() => respond(request), 600);
    await withMesh([slow], async mesh => {
      const getReadiness = () => mesh.call('/ready', {port: mesh.ports[2]!});
      expect((await getReadiness()).status).to.equal(200);
      const inFlight = mesh.call('/read/1');
      await new Promise(resolve => setTimeout(resolve, 50));
      const drained = mesh.relays[0]!.relay.drain();
      expect((await getReadiness()).status).to.equal(503);
      const duringDrain = await mesh.call('/read/2');
      expect(duringDrain.status).to.equal(200);
      expect(duringDrain.headers.connection).to.equal('close');
      expect((await inFlight).status).to.equal(200);
      await drained;
    });
  });

  it('guards against requests without a response at the end of a drain', async () => {
    await withMesh([() => {}], async mesh => {
      const drained = mesh.relays[0]!.relay.drain();
      await new Promise(resolve => setTimeout(resolve, 2400));
      const result = mesh.call('/read/1', {deadlineMs: 9000});
      expect((await result).status).to.be.oneOf([503, 504]);
      await drained;
    });
  });

  it('frees the slot of a large response whose caller has closed its connection', async () => {
    const large: RequestHandler = request =>
      setTimeout(() => respond({...request, body: 'x'.repeat(700_000)}), 150);
    await withMesh([large], async mesh => {
      for (let count = 0; count < 4; count++) {
        const signal = AbortSignal.timeout(50);
        const aborted = mesh.call('/buy/1', {method: 'POST', signal});
        await aborted.catch(() => {});
      }
      await new Promise(resolve => setTimeout(resolve, 400));
      const result = await mesh.call('/buy/2', {method: 'POST'});
      expect(result.status).to.equal(200);
      expect(result.body).to.have.length.above(700_000);
    });
  });

  it('exposes its metrics', async () => {
    await withMesh([respond], async mesh => {
      await mesh.call('/read/1');
      const metrics = await mesh.call('/metrics', {port: mesh.ports[4]!});
      expect(metrics.body).to.match(
        /carobseam_relay_requests_total\{outcome="answered"\} 1/,
      );
    });
  });
});
