import {WorkerLoads} from '@carobseam/calls.placement';
import {
  CallerDeadlineTracker,
  encodeHopRequest,
  HopDelays,
  hopHeaders,
  HopStamps,
  InboundHandler,
  OutboundHandler,
  RequestIntake,
  type InboundHandlerOptions,
  type RelayContext,
} from '@carobseam/calls.relay';
import type {WorkerId} from '@carobseam/config.mesh';
import {SeededRandom, SystemClock} from '@carobseam/core.clock';
import type {ServiceName} from '@carobseam/core.types';
import {expect} from 'chai';
import {once} from 'node:events';
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {createRoute, createWorker} from './route_fixture.js';

const WORKER_ADDRESS = '127.0.0.70:1';
const HOP = encodeHopRequest({
  worker: 'i-7' as WorkerId,
  isIdempotent: true,
  rank: 0,
  isLastCallerAttempt: false,
  dueInMs: 1000,
  expiresInMs: 2000,
});

/** Context of both handlers; counts the requests submitted to the worker. */
function createContext(onSubmit: () => void): RelayContext {
  const clock = new SystemClock();
  const worker = createWorker(WORKER_ADDRESS);
  const route = createRoute({
    shares: [{service: worker.service, weight: 1}],
  });
  return {
    clock,
    random: new SeededRandom(1),
    state: {
      config: {limits: {maxBodyBytes: 1000}},
      routes: {find: () => route},
      workersOf: () => [worker],
    },
    workerLoads: new WorkerLoads(clock, 2000),
    peerHealth: {isDown: () => false, isCutOff: () => false},
    workerGate: {
      isCallOfWorker: () => false,
      load: {queued: []},
      submit: () => {
        onSubmit();
        return {result: new Promise(() => {}), cancel: () => {}};
      },
    },
    callerDeadlines: new CallerDeadlineTracker(clock),
    readDelayOf: () => 0,
    intake: new RequestIntake({clock}),
    hopStamps: new HopStamps(clock),
    hopDelays: new HopDelays(clock),
    log: {
      gateDecision: () => {},
      hopRead: () => {},
      requestPlaced: () => {},
      requestEnded: () => {},
    },
    dataCentre: worker.dataCentre,
    service: 'desk' as ServiceName,
    workerAddress: WORKER_ADDRESS,
    isDraining: () => false,
    shutdownDeadlineMs: () => Infinity,
    isRefusingNewRequests: () => false,
  } as unknown as RelayContext;
}

/**
 * Sends a request and, unless `staysOpen`, closes the connection before the
 * relay reads it, as after a delay of its event loop.
 *
 * @return number of requests submitted to the worker.
 */
async function countSubmitted(
  createHandler: (context: RelayContext) => {
    handle: http.RequestListener;
  },
  staysOpen: boolean,
): Promise<number> {
  let submitCount = 0;
  const handler = createHandler(createContext(() => submitCount++));
  const server = http.createServer((request, response) =>
    handler.handle(request, response),
  );
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const sender = net.connect(port, '127.0.0.1');
  await Promise.all([once(sender, 'connect'), once(server, 'connection')]);
  sender.write(
    `GET / HTTP/1.1\r\nHost: a.example\r\n${hopHeaders.request}: ${HOP}\r\n\r\n`,
  );
  if (!staysOpen) {
    sender.destroySoon();
  }
  await new Promise(resolve => setTimeout(resolve, 200));
  server.closeAllConnections();
  server.close();
  return submitCount;
}

const HANDLERS = {
  InboundHandler: (context: RelayContext) =>
    new InboundHandler(context as unknown as InboundHandlerOptions),
  OutboundHandler: (context: RelayContext) => new OutboundHandler(context),
};

for (const [name, createHandler] of Object.entries(HANDLERS)) {
  describe(name, () => {
    it('guards against giving the worker a request whose sender has already closed the connection', async () => {
      expect(await countSubmitted(createHandler, false)).to.equal(0);
    });

    it('gives the worker a request whose sender waits', async () => {
      expect(await countSubmitted(createHandler, true)).to.equal(1);
    });
  });
}
