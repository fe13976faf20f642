import {WorkerLoads} from '@carobseam/calls.placement';
import {
  encodeHopResponse,
  hopHeaders,
  HopStamps,
  PeerPools,
  RequestDispatcher,
  type DispatchResult,
  type RelayContext,
} from '@carobseam/calls.relay';
import {SeededRandom, SystemClock} from '@carobseam/core.clock';
import type {ServiceName} from '@carobseam/core.types';
import {expect} from 'chai';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {createRoute} from './route_fixture.js';

const DESK = 'desk' as ServiceName;
const SLOW_MS = 900; // longer than a hop may be silent before it is hedged
const TIMEOUT_MS = 4000;

/** What the relay of a worker does with a request, `reply` after a delay. */
type PeerHandler = (response: http.ServerResponse, body: string) => void;

const replyAfter =
  (delayMs: number): PeerHandler =>
  (response, body) =>
    setTimeout(() => reply(response, body), delayMs);

const neverReply: PeerHandler = () => {};

const breakOffAfter =
  (delayMs: number): PeerHandler =>
  response =>
    setTimeout(() => response.destroy(), delayMs);

/** Is silent for 700 ms, alive until 1500 ms, silent again until 2300 ms. */
const replyAfterTwoSilences: PeerHandler = (response, body) => {
  for (const aliveMs of [700, 900, 1100, 1300, 1500]) {
    setTimeout(() => response.writeProcessing(), aliveMs);
  }
  setTimeout(() => reply(response, body), 2300);
};

const failAfter =
  (delayMs: number): PeerHandler =>
  (response, body) =>
    setTimeout(() => reply(response, body, 500), delayMs);

const IDLE = {
  running: 1,
  slots: 4,
  meanServiceMs: 100,
  failureShare: 0,
  isLeaving: false,
  queued: [0, 0, 0, 0, 0],
  serviceMs: [0, 0, 0, 0, 0],
};

function reply(
  response: http.ServerResponse,
  body: string,
  status = 200,
): void {
  const verdict = encodeHopResponse({
    verdict: 'answered',
    reason: String(status),
    retryAfterMs: 0,
    load: IDLE,
  });
  response.writeHead(status, {[hopHeaders.response]: verdict});
  response.end(body);
}

interface Peer {
  close(): void;
  /** Requests whose connection the sender closed before the response. */
  cutCount(): number;
  requestCount(): number;
}

async function startPeer(
  host: string,
  port: number,
  handle: PeerHandler,
): Promise<Peer & {port: number}> {
  let requests = 0;
  let cuts = 0;
  const server = http.createServer((request, response) => {
    requests++;
    request.resume();
    response.on('close', () => {
      cuts += response.writableFinished ? 0 : 1;
    });
    handle(response, host);
  });
  await new Promise<void>(resolve => {
    server.listen(port, host, resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    requestCount: () => requests,
    cutCount: () => cuts,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

interface MeshOptions {
  handlers: readonly PeerHandler[];
  retriesInBudget?: number;
  isIdempotent?: boolean;
  hasRelayEnded?: boolean;
  lastAnswerMs?: () => number;
}

/** Dispatches one request to the relays of two or more VMs. */
async function withDispatcher(
  options: MeshOptions,
  run: (mesh: {
    dispatch: () => Promise<DispatchResult>;
    peers: Peer[];
    downVms: string[];
  }) => Promise<void>,
): Promise<void> {
  const clock = new SystemClock();
  const peers: Peer[] = [];
  let port = 0;
  for (const [index, handle] of options.handlers.entries()) {
    const peer = await startPeer(`127.0.0.${index + 71}`, port, handle);
    port = peer.port;
    peers.push(peer);
  }
  const workers = peers.map((_peer, index) => ({
    id: `i-${index}`,
    service: DESK,
    address: `127.0.0.${index + 71}:1`,
    dataCentre: index === 0 ? 'wien' : 'linz',
    slots: 4,
    isLeaving: false,
    coldRemainingMs: 0,
    bornMs: 0,
  }));
  const peerPools = new PeerPools(clock, port);
  const downVms: string[] = [];
  let retriesLeft = options.retriesInBudget ?? 0;
  const context = {
    clock,
    random: new SeededRandom(1),
    state: {workersOf: () => workers},
    workerLoads: new WorkerLoads(clock, 2000),
    peerHealth: {
      isDown: (vmAddress: string) => downVms.includes(vmAddress),
      isCutOff: () => false,
      recordContact: () => {},
      hasEnded: () => options.hasRelayEnded ?? false,
      lastAnswerMs: options.lastAnswerMs ?? (() => -Infinity),
      markDown: (vmAddress: string) => downVms.push(vmAddress),
    },
    peerPools,
    dataCentre: 'wien',
    workerAddress: '127.0.0.70:1',
    retryBudgets: {countCall: () => {}, take: () => retriesLeft-- > 0},
    hopStamps: new HopStamps(clock),
    log: {
      requestPlaced: () => {},
      attemptFailed: () => {},
      hopSilent: () => {},
      retryBudgetExhausted: () => {},
    },
  };
  const dispatch = () => {
    const nowMs = clock.monotonicMs();
    return new RequestDispatcher(context as unknown as RelayContext, {
      id: 'id-1',
      route: {
        ...createRoute(),
        isIdempotent: options.isIdempotent ?? true,
        maxAttempts: 3,
      },
      service: DESK,
      method: 'GET',
      url: '/',
      headers: ['Host', 'hints.example'],
      body: Buffer.alloc(0),
      isLastCallerAttempt: false,
      dueAtMs: nowMs + TIMEOUT_MS,
      expiresAtMs: nowMs + TIMEOUT_MS,
    }).dispatch();
  };
  try {
    await run({dispatch, peers, downVms});
  } finally {
    peerPools.close();
    peers.forEach(peer => peer.close());
  }
}

function describeResult(result: DispatchResult): string {
  return result.kind === 'response'
    ? `${result.response.status} ${String(result.response.body)}`
    : `${result.kind} ${result.reason}`;
}

describe('silent hop', () => {
  it('guards against breaking off a running request because its relay was silent and no retry is allowed', async () => {
    const handlers = [replyAfter(SLOW_MS), neverReply];
    await withDispatcher({handlers}, async ({dispatch, peers}) => {
      expect(describeResult(await dispatch())).to.equal('200 127.0.0.71');
      expect(peers[0]!.cutCount()).to.equal(0);
      expect(peers[1]!.requestCount()).to.equal(0);
    });
  });

  it('guards against losing the response of a silent relay whose retry failed', async () => {
    const handlers = [replyAfter(SLOW_MS), breakOffAfter(50)];
    await withDispatcher(
      {handlers, retriesInBudget: 1},
      async ({dispatch, peers}) => {
        expect(describeResult(await dispatch())).to.equal('200 127.0.0.71');
        expect(peers[1]!.requestCount()).to.equal(1);
      },
    );
  });

  it('guards against waiting for a dead relay when another one can respond', async () => {
    const handlers = [neverReply, replyAfter(50)];
    await withDispatcher(
      {handlers, retriesInBudget: 1},
      async ({dispatch, peers, downVms}) => {
        expect(describeResult(await dispatch())).to.equal('200 127.0.0.72');
        await new Promise(resolve => setTimeout(resolve, 50));
        expect(peers[0]!.cutCount()).to.equal(1);
        expect(downVms).to.deep.equal(['127.0.0.71']);
      },
    );
  });

  it('guards against a second run of a request that is not idempotent after silence', async () => {
    const handlers = [replyAfter(SLOW_MS), replyAfter(0)];
    await withDispatcher(
      {handlers, retriesInBudget: 1, isIdempotent: false},
      async ({dispatch, peers, downVms}) => {
        expect(describeResult(await dispatch())).to.equal('200 127.0.0.71');
        expect(peers[1]!.requestCount()).to.equal(0);
        expect(downVms).to.deep.equal(['127.0.0.71']);
      },
    );
  });

  it('guards against holding a request whose relay has ended', async () => {
    const handlers = [neverReply, neverReply];
    await withDispatcher(
      {handlers, hasRelayEnded: true},
      async ({dispatch}) => {
        expect(describeResult(await dispatch())).to.equal('unknown silent');
      },
    );
  });

  it('guards against holding a request on a connection that died without a reset', async () => {
    const handlers = [neverReply, neverReply];
    const clock = new SystemClock();
    const startMs = clock.monotonicMs();
    await withDispatcher(
      {handlers, lastAnswerMs: () => clock.monotonicMs()},
      async ({dispatch}) => {
        expect(describeResult(await dispatch())).to.equal('unknown silent');
        expect(clock.monotonicMs() - startMs).to.be.below(TIMEOUT_MS / 1.5);
      },
    );
  });

  it('guards against taking a connection for dead after a single probe was answered', async () => {
    const handlers = [replyAfter(2500), neverReply];
    const answeredMs = new SystemClock().monotonicMs() + SLOW_MS;
    await withDispatcher(
      {handlers, lastAnswerMs: () => answeredMs},
      async ({dispatch}) => {
        expect(describeResult(await dispatch())).to.equal('200 127.0.0.71');
      },
    );
  });

  it('guards against taking a second silence for a dead connection because of a probe answered in an earlier one', async () => {
    const handlers = [replyAfterTwoSilences, neverReply];
    const answeredMs = new SystemClock().monotonicMs() + 720;
    await withDispatcher(
      {handlers, lastAnswerMs: () => answeredMs},
      async ({dispatch, peers}) => {
        expect(describeResult(await dispatch())).to.equal('200 127.0.0.71');
        expect(peers[0]!.cutCount()).to.equal(0);
      },
    );
  });

  it("guards against replacing a worker's failure by a timeout because an earlier hop is still silent", async () => {
    const handlers = [neverReply, failAfter(50)];
    await withDispatcher({handlers, retriesInBudget: 1}, async ({dispatch}) => {
      const timeout = new Promise<DispatchResult>(resolve =>
        setTimeout(resolve, TIMEOUT_MS, {kind: 'unknown', reason: 'timeout'}),
      );
      const result = await Promise.race([dispatch(), timeout]);
      expect(describeResult(result)).to.equal('500 127.0.0.72');
    });
  });
}).timeout(6000);
