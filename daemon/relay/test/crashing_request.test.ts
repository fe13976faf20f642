import {SeededRandom, SystemClock} from '@carobseam/core.clock';
import {expect} from 'chai';
import {
  allocatePorts,
  call,
  createSnapshot,
  createWorkerEntry,
  FakeSource,
  respond,
  startRelay,
  startWorker,
  type CallerResult,
  type FakeWorker,
  type RunningRelay,
} from './relay_fixtures.js';

const DEADLY_BODY = 'deadly';
const SPREAD_MS = 100; // until all relays know the marks of a crash

/** A worker that ends when it receives a deadly body. */
interface CrashingWorker {
  worker: FakeWorker;
  hasCrashed: () => boolean;
}

async function startCrashingWorker(host: string): Promise<CrashingWorker> {
  let hasCrashed = false;
  const worker = await startWorker(host, request => {
    if (request.body === DEADLY_BODY) {
      hasCrashed = true;
      void worker.close();
    } else {
      respond(request);
    }
  });
  return {worker, hasCrashed: () => hasCrashed};
}

interface CrashingMesh {
  /** Sends a request to the relay with the given index. */
  send: (index: number, path: string, body: string) => Promise<CallerResult>;
  /** Starts the relay with the given index again, with an empty memory. */
  restart: (index: number) => Promise<void>;
  crashCount: () => number;
}

/** Runs relays in two data centres, each beside a worker that can crash. */
async function withMesh(
  addressPrefix: string,
  run: (mesh: CrashingMesh) => Promise<void>,
): Promise<void> {
  const ports = allocatePorts();
  const hosts = [1, 2, 3, 4, 5, 6, 7, 8].map(
    last => `${addressPrefix}.${last}`,
  );
  const workers = await Promise.all(hosts.map(startCrashingWorker));
  const entries = workers.map(({worker}, index) =>
    createWorkerEntry(worker, `i-${index}`, index % 2 === 0 ? 'wien' : 'graz'),
  );
  const source = () => new FakeSource(createSnapshot(entries));
  const start = (index: number) =>
    startRelay(
      workers[index]!.worker,
      ports,
      source(),
      new SystemClock(),
      new SeededRandom(index),
    );
  const relays: RunningRelay[] = [];
  for (let index = 0; index < hosts.length; index++) {
    relays.push(await start(index));
  }
  try {
    await run({
      send: (index, path, body) =>
        call({
          host: hosts[index]!,
          port: ports[0]!,
          path,
          method: 'POST',
          body,
        }),
      restart: async index => {
        relays[index]!.close();
        relays[index] = await start(index);
      },
      crashCount: () => workers.filter(({hasCrashed}) => hasCrashed()).length,
    });
  } finally {
    relays.forEach(({close}) => close());
    await Promise.all(
      workers.map(({worker, hasCrashed}) =>
        hasCrashed() ? undefined : worker.close(),
      ),
    );
  }
}

function pause(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}

describe('relays and a request that crashes workers', () => {
  for (const route of ['read', 'buy']) {
    it(`guards against running it at every worker, /${route}/`, async () => {
      await withMesh(`127.9.${route.length}`, async mesh => {
        const statuses: number[] = [];
        for (let sent = 0; sent < 12; sent++) {
          const {status} = await mesh.send(
            sent % 8,
            `/${route}/a`,
            DEADLY_BODY,
          );
          statuses.push(status);
          await pause(SPREAD_MS);
        }
        expect(mesh.crashCount()).to.be.within(3, 4);
        expect(statuses.slice(-8)).to.deep.equal(new Array(8).fill(422));
      });
    });
  }

  it('guards against refusing the same path with another body', async () => {
    await withMesh('127.9.5', async mesh => {
      for (let sent = 0; sent < 5; sent++) {
        await mesh.send(sent, '/read/a', DEADLY_BODY);
        await pause(SPREAD_MS);
      }
      const answers = [];
      for (let index = 0; index < 8; index++) {
        answers.push((await mesh.send(index, '/read/a', 'harmless')).status);
      }
      expect(answers).to.deep.equal(new Array(8).fill(200));
    });
  });

  it('guards against forgetting it with the restart of a relay', async () => {
    await withMesh('127.9.6', async mesh => {
      for (let sent = 0; sent < 5; sent++) {
        await mesh.send(sent, '/read/a', DEADLY_BODY);
        await pause(SPREAD_MS);
      }
      const crashes = mesh.crashCount();
      await mesh.restart(7);
      await pause(SPREAD_MS);
      const {status} = await mesh.send(7, '/read/a', DEADLY_BODY);
      expect([status, mesh.crashCount()]).to.deep.equal([422, crashes]);
    });
  });
});
