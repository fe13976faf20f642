import {expect} from 'chai';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  allocatePorts,
  call,
  createSnapshot,
  createWorkerEntry,
  FakeSource,
  respond,
  respondNotExecuted,
  startRelay,
  startWorker,
  type ReceivedRequest,
} from './relay_fixtures.js';

const HOST = '127.0.0.1';
const PEER_HOST = '127.0.0.2';
const REFUSED_CALLS = 40; // each takes one retry, until the budget is exhausted
const CALLS = 6; // more than the slots of one worker

/** What the workers do with a request. */
type WorkerMode = 'reject' | 'hold' | 'run';

interface LostPeerFixture {
  /** Sends requests at the same time and returns their statuses. */
  callAll: (count: number) => Promise<number[]>;
  setMode: (mode: WorkerMode) => void;
  /** Resolves when a request runs on the worker behind the peer. */
  untilRequestRuns: () => Promise<void>;
  /** Ends the peer with all its connections, as at its exit. */
  endPeer: () => void;
}

/** Starts two relays, each with a worker; the second one is the peer. */
async function withPeer(
  run: (fixture: LostPeerFixture) => Promise<void>,
): Promise<void> {
  let mode: WorkerMode = 'hold';
  const handle = (request: ReceivedRequest) => {
    if (mode === 'reject') {
      respondNotExecuted(request);
    } else if (mode === 'run') {
      respond(request);
    }
  };
  const own = await startWorker(HOST, handle);
  const remote = await startWorker(PEER_HOST, handle);
  const entries = [own, remote].map((worker, index) =>
    createWorkerEntry(worker, `i-${index}`),
  );
  const source = new FakeSource(createSnapshot(entries));
  const ports = allocatePorts();
  const relay = await startRelay(own, ports, source);
  const peer = await startRelay(remote, ports, source);
  const callOnce = async () => {
    const target = {host: HOST, port: ports[0]!, path: '/read/1'};
    return (await call(target)).status;
  };
  const untilRequestRuns = async () => {
    const isRunning = () =>
      remote.requests.some(({response}) => !response.writableEnded);
    for (let turn = 0; turn < 100 && !isRunning(); turn++) {
      await sleep(5);
    }
    expect(isRunning()).to.equal(true);
  };
  try {
    await run({
      callAll: count => Promise.all(Array.from({length: count}, callOnce)),
      setMode: newMode => {
        mode = newMode;
        if (mode === 'run') {
          const held = own.requests.filter(
            ({response}) => !response.writableEnded,
          );
          held.forEach(respond);
        }
      },
      untilRequestRuns,
      endPeer: () => peer.close(),
    });
  } finally {
    relay.close();
    peer.close();
    await Promise.all([own.close(), remote.close()]);
  }
}

describe('relay whose peer exits', () => {
  const callDuringExit = async (fixture: LostPeerFixture) => {
    fixture.setMode('hold');
    const statuses = fixture.callAll(CALLS);
    await fixture.untilRequestRuns();
    fixture.endPeer();
    await sleep(50);
    fixture.setMode('run');
    return statuses;
  };

  it('sends a running request to another worker', async () => {
    await withPeer(async fixture => {
      const statuses = await callDuringExit(fixture);
      expect(statuses).to.deep.equal(Array(CALLS).fill(200));
    });
  });

  it('guards against giving up a running request because refused ones have used up the retry budget', async () => {
    await withPeer(async fixture => {
      fixture.setMode('reject');
      for (let index = 0; index < REFUSED_CALLS; index++) {
        await fixture.callAll(1);
      }
      const statuses = await callDuringExit(fixture);
      expect(statuses).to.deep.equal(Array(CALLS).fill(200));
    });
  });
});
