import type {ExchangeRequest, ExchangeResult} from '@carobseam/calls.exchange';
import {WorkerLoads} from '@carobseam/calls.placement';
import {
  encodeHopResponse,
  hopHeaders,
  RequestDispatcher,
  type DispatchResult,
  type HopVerdict,
  type RelayContext,
} from '@carobseam/calls.relay';
import type {WorkerId} from '@carobseam/config.mesh';
import {ManualClock, SeededRandom} from '@carobseam/core.clock';
import type {ServiceName} from '@carobseam/core.types';
import {expect} from 'chai';
import {Readable} from 'node:stream';
import {createRoute, createWorker} from './route_fixture.js';

type Hop = (request: ExchangeRequest) => Promise<ExchangeResult>;

const CONNECT_FAILED: ExchangeResult = {
  kind: 'notSent',
  reason: 'connect_failed',
  receivedBytes: 0,
  receivedInterims: 0,
};

/** Reads the body and responds with `verdict`. */
const respond =
  (verdict: HopVerdict): Hop =>
  async ({body}) => {
    let bytes = 0;
    for await (const chunk of body as AsyncIterable<Buffer>) {
      bytes += chunk.length;
    }
    const load = {
      running: 1,
      slots: 4,
      queued: [0, 0, 0, 0, 0],
      meanServiceMs: 100,
      serviceMs: [0, 0, 0, 0, 0],
      failureShare: 0,
      isLeaving: false,
    };
    const text = encodeHopResponse({
      verdict,
      reason: 'test',
      retryAfterMs: 10,
      load,
    });
    return {
      kind: 'response',
      status: verdict === 'answered' ? 200 : 503,
      headers: [hopHeaders.response, text],
      body: Buffer.from(`${bytes} bytes`),
    };
  };

/** Dispatches a request with a streamed body of 2000 bytes over `hops`. */
async function dispatchStreamed(
  hops: Hop[],
): Promise<{result: DispatchResult; unusedHops: number}> {
  const clock = new ManualClock();
  const workers = ['10.0.0.7:7900', '10.0.0.8:7900'].map(address => ({
    ...createWorker(address),
    id: address as WorkerId,
  }));
  const context = {
    clock,
    random: new SeededRandom(1),
    state: {workersOf: () => workers},
    workerLoads: new WorkerLoads(clock, 2000),
    dataCentre: workers[0]!.dataCentre,
    peerHealth: {
      isDown: () => false,
      isCutOff: () => false,
      recordContact: () => {},
      markDown: () => {},
    },
    peerPools: {
      poolFor: () => ({
        exchange: (request: ExchangeRequest) => ({
          result: hops.shift()!(request),
          cancel: () => {},
        }),
      }),
    },
    retryBudgets: {countCall: () => {}, take: () => true},
    log: {requestPlaced: () => {}, attemptFailed: () => {}},
  };
  const dispatcher = new RequestDispatcher(context as unknown as RelayContext, {
    id: 'id-1',
    route: createRoute({isIdempotent: false}),
    service: 'desk' as ServiceName,
    method: 'POST',
    url: '/',
    headers: [],
    body: Readable.from([Buffer.alloc(1000), Buffer.alloc(1000)]),
    isLastCallerAttempt: false,
    dueAtMs: 500,
    expiresAtMs: 1500,
  });
  const result = await dispatcher.dispatch();
  return {result, unusedHops: hops.length};
}

describe('streamed request body', () => {
  for (const verdict of ['notSent', 'rejected'] as const) {
    it(`guards against running a request without its body that another attempt has consumed, after ${verdict}`, async () => {
      const hops = [respond(verdict), respond('answered')];
      const {result, unusedHops} = await dispatchStreamed(hops);
      expect(result.kind).to.equal('refused');
      expect(unusedHops).to.equal(1);
    });
  }

  it('is sent to another worker when the first attempt did not read it', async () => {
    const hops = [async () => CONNECT_FAILED, respond('answered')];
    const {result} = await dispatchStreamed(hops);
    expect(result.kind === 'response' && String(result.response.body)).to.equal(
      '2000 bytes',
    );
  });
});
