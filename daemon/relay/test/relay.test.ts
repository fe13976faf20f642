import {wireHeaders} from '@carobseam/platform.adapter';
import {expect} from 'chai';
import {
  answer,
  call,
  createSnapshot,
  entryOf,
  FakeSource,
  loseAnswer,
  reject,
  startRelay,
  startWorker,
  takePorts,
  type RunningRelay,
  type SeenRequest,
  type StandInWorker,
} from './relay_fixtures.js';

type Reaction = (seen: SeenRequest) => void;

interface Mesh {
  workers: StandInWorker[];
  relays: RunningRelay[];
  ports: number[];
  /** Calls the relay of the first VM. */
  call: (
    path: string,
    changed?: Partial<Parameters<typeof call>[0]>,
  ) => ReturnType<typeof call>;
}

async function withMesh(
  reactions: readonly Reaction[],
  run: (mesh: Mesh) => Promise<void>,
  dataCentres: readonly string[] = [],
): Promise<void> {
  const ports = takePorts();
  const workers = await Promise.all(
    reactions.map((react, index) => startWorker(`127.0.0.${index + 1}`, react)),
  );
  const entries = workers.map((worker, index) =>
    entryOf(worker, `i-${index}`, dataCentres[index]),
  );
  const relays = await Promise.all(
    workers.map(worker =>
      startRelay(worker, ports, new FakeSource(createSnapshot(entries))),
    ),
  );
  const callFirst: Mesh['call'] = (path, changed = {}) =>
    call({host: '127.0.0.1', port: ports[0]!, path, ...changed});
  try {
    await run({workers, relays, ports, call: callFirst});
  } finally {
    relays.forEach(relay => relay.close());
    await Promise.all(workers.map(worker => worker.close()));
  }
}

const runsOf = (workers: readonly StandInWorker[]) =>
  workers.reduce((sum, worker) => sum + worker.seen.length, 0);

describe('relay', () => {
  it('forwards to the worker beside it with the headers that it owes', async () => {
    await withMesh([answer], async mesh => {
      const result = await mesh.call('/buy/1?x=2', {method: 'POST', body: 'b'});
      expect(result.status).to.equal(200);
      expect(result.body).to.equal('ran /buy/1?x=2 b');
      const {headers} = mesh.workers[0]!.seen[0]!;
      expect(headers[wireHeaders.callerService]).to.equal('desk');
      expect(headers[wireHeaders.expectedWorker]).to.equal('i-0');
      expect(headers[wireHeaders.requestId]).to.equal('id-1');
      expect(Number(headers[wireHeaders.deadlineMs])).to.be.within(1, 1500);
    });
  });

  it('forwards over the relay of another VM', async () => {
    await withMesh(
      [answer, answer],
      async mesh => {
        const result = await mesh.call('/read/1');
        expect(result.body).to.equal('ran /read/1 ');
        expect(mesh.workers[1]!.seen).to.have.length(1);
        expect(result.headers).to.not.have.property('x-cs-load');
        const {headers} = mesh.workers[1]!.seen[0]!;
        expect(headers).to.not.have.property('x-cs-hop');
        expect(headers[wireHeaders.callerService]).to.equal('desk');
      },
      ['linz', 'wien'],
    );
  });

  it('repeats an idempotent request whose answer was lost', async () => {
    let lost = 0;
    const loseFirst: Reaction = seen =>
      lost++ === 0 ? loseAnswer(seen) : answer(seen);
    await withMesh([loseFirst, loseFirst], async mesh => {
      const result = await mesh.call('/read/1');
      expect(result.status).to.equal(200);
      expect(runsOf(mesh.workers)).to.equal(2);
    });
  });

  it('guards against a second run of a request that must not run twice', async () => {
    await withMesh([loseAnswer, loseAnswer], async mesh => {
      const result = await mesh.call('/buy/1', {method: 'POST', body: 'b'});
      expect(result.status).to.equal(502);
      expect(runsOf(mesh.workers)).to.equal(1);
    });
  });

  it('moves a request that a worker did not run', async () => {
    let rejected = 0;
    const rejectFirst: Reaction = seen =>
      rejected++ === 0 ? reject(seen) : answer(seen);
    await withMesh([rejectFirst, rejectFirst], async mesh => {
      const result = await mesh.call('/buy/1', {method: 'POST', body: 'b'});
      expect(result.status).to.equal(200);
    });
  });

  it('refuses with a time to come back when all workers reject', async () => {
    await withMesh([reject, reject], async mesh => {
      const result = await mesh.call('/buy/1', {method: 'POST', body: 'b'});
      expect(result.status).to.equal(503);
      const retryAfterS = Number(result.headers['retry-after']);
      expect(retryAfterS).to.be.within(0.001, 1);
    });
  });

  it('guards against answers that the worker did not sign', async () => {
    const unsigned: Reaction = seen => seen.response.end('not the worker');
    await withMesh([unsigned], async mesh => {
      const result = await mesh.call('/buy/1', {method: 'POST', body: 'b'});
      expect(result.status).to.equal(502);
      expect(result.body).to.equal('');
    });
  });

  it('guards against a signed refusal that does not state that nothing ran', async () => {
    const overloaded: Reaction = seen => {
      seen.response.writeHead(503, {[wireHeaders.workerSignature]: 'seal'});
      seen.response.end('overloaded');
    };
    await withMesh([overloaded], async mesh => {
      const result = await mesh.call('/buy/1', {method: 'POST', body: 'b'});
      expect(result.status).to.equal(502);
      expect(result.headers[wireHeaders.workerSignature]).to.equal(undefined);
      expect(runsOf(mesh.workers)).to.equal(1);
    });
  });

  it('delivers the failure of a worker unchanged', async () => {
    const fail: Reaction = seen => {
      seen.response.writeHead(500, {[wireHeaders.workerSignature]: 'seal'});
      seen.response.end('broken');
    };
    await withMesh([fail], async mesh => {
      const result = await mesh.call('/buy/1', {method: 'POST', body: 'b'});
      expect(result.status).to.equal(500);
      expect(result.body).to.equal('broken');
    });
  });

  it('answers 404 for a route that the configuration lacks', async () => {
    await withMesh([answer], async mesh => {
      expect((await mesh.call('/unknown/1')).status).to.equal(404);
    });
  });

  it('ends the work for a caller that has left', async () => {
    let closedMs = Infinity;
    const hang: Reaction = seen =>
      seen.response.on('close', () => (closedMs = performance.now()));
    await withMesh(
      [answer, hang],
      async mesh => {
        const caller = new AbortController();
        const result = mesh.call('/read/1', {signal: caller.signal});
        result.catch(() => {});
        await new Promise(resolve => setTimeout(resolve, 200));
        const leftMs = performance.now();
        caller.abort();
        await new Promise(resolve => setTimeout(resolve, 300));
        expect(closedMs - leftMs).to.be.below(500);
      },
      ['linz', 'wien'],
    );
  });

  it('ends a wait at the timeout of the route', async () => {
    await withMesh([() => {}], async mesh => {
      const startMs = performance.now();
      const result = await mesh.call('/buy/1', {method: 'POST'});
      expect(result.status).to.equal(504);
      expect(performance.now() - startMs).to.be.within(1300, 2000);
    });
  });

  it('is not ready once it leaves, and ends what is under way', async () => {
    const slow: Reaction = seen => setTimeout(() => answer(seen), 600);
    await withMesh([slow], async mesh => {
      const ready = () => mesh.call('/ready', {port: mesh.ports[2]!});
      expect((await ready()).status).to.equal(200);
      const underWay = mesh.call('/read/1');
      await new Promise(resolve => setTimeout(resolve, 50));
      const left = mesh.relays[0]!.relay.drain();
      expect((await ready()).status).to.equal(503);
      const late = await mesh.call('/read/2');
      expect(late.status).to.equal(200);
      expect(late.headers.connection).to.equal('close');
      expect((await underWay).status).to.equal(200);
      await left;
    });
  });

  it('answers every request before it ends, also those of the last moment', async () => {
    await withMesh([() => {}], async mesh => {
      const left = mesh.relays[0]!.relay.drain();
      await new Promise(resolve => setTimeout(resolve, 2400));
      const result = mesh.call('/read/1', {deadlineMs: 9000});
      expect((await result).status).to.be.oneOf([503, 504]);
      await left;
    });
  });

  it('frees the slot of a large answer whose caller has left', async () => {
    const large: Reaction = seen =>
      setTimeout(() => answer({...seen, body: 'x'.repeat(700_000)}), 150);
    await withMesh([large], async mesh => {
      for (let count = 0; count < 4; count++) {
        const signal = AbortSignal.timeout(50);
        const left = mesh.call('/buy/1', {method: 'POST', signal});
        await left.catch(() => {});
      }
      await new Promise(resolve => setTimeout(resolve, 400));
      const result = await mesh.call('/buy/2', {method: 'POST'});
      expect(result.status).to.equal(200);
      expect(result.body).to.have.length.above(700_000);
    });
  });

  it('shows its metrics', async () => {
    await withMesh([answer], async mesh => {
      await mesh.call('/read/1');
      const page = await mesh.call('/metrics', {port: mesh.ports[4]!});
      expect(page.body).to.match(
        /carobseam_relay_requests_total\{outcome="answered"\} 1/,
      );
    });
  });
});
