import type {ExchangeFailure} from '@carobseam/calls.exchange';
import {WorkerLoads} from '@carobseam/calls.placement';
import {RequestDispatcher, type RelayContext} from '@carobseam/calls.relay';
import type {MeshRoute} from '@carobseam/config.mesh';
import {ManualClock, SeededRandom} from '@carobseam/core.clock';
import type {LogFields} from '@carobseam/core.logger';
import type {ServiceName} from '@carobseam/core.types';
import {expect} from 'chai';
import {createRoute, createWorker} from './route_fixture.js';

const DESK = 'desk' as ServiceName;

/**
 * Creates a context without workers that records the calls counted by the retry
 * budget.
 */
function createContext() {
  const counted: string[] = [];
  const context = {
    clock: new ManualClock(),
    random: new SeededRandom(1),
    state: {workersOf: () => []},
    workerLoads: {},
    retryBudgets: {
      countCall: (service: string) => counted.push(service),
      take: () => false,
    },
  };
  return {context: context as unknown as RelayContext, counted};
}

function createDispatcher(
  context: RelayContext,
  route: Partial<MeshRoute> = {},
): RequestDispatcher {
  return new RequestDispatcher(context, {
    id: 'id-1',
    route: createRoute(route),
    service: DESK,
    method: 'GET',
    url: '/',
    headers: [],
    body: Buffer.alloc(0),
    isLastCallerAttempt: false,
    dueAtMs: 500,
    expiresAtMs: 1500,
  });
}

const SILENT: ExchangeFailure = {
  kind: 'unknown',
  reason: 'silent',
  receivedBytes: 25,
  receivedInterims: 1,
  silentMs: 600.4,
};

/**
 * Creates a context whose only worker is on another VM. Each hop takes 800 ms
 * and fails.
 */
function createFailingContext(hasRetries = true) {
  const clock = new ManualClock();
  const failures: LogFields[] = [];
  let exhaustedCount = 0;
  const worker = createWorker('10.0.0.7:7900');
  const context = {
    ...createContext().context,
    clock,
    state: {workersOf: () => [worker], config: {version: 3}},
    workerLoads: new WorkerLoads(clock, 2000),
    dataCentre: worker.dataCentre,
    peerHealth: {
      isDown: () => false,
      isCutOff: () => false,
      recordContact: () => {},
      markDown: () => {},
    },
    peerPools: {
      poolFor: () => ({
        exchange: () => {
          clock.advance(800);
          return {result: Promise.resolve(SILENT), cancel: () => {}};
        },
      }),
    },
    retryBudgets: {countCall: () => {}, take: () => hasRetries},
    log: {
      requestPlaced: () => {},
      attemptFailed: (_reason: string, fields: LogFields) =>
        failures.push(fields),
      retryBudgetExhausted: () => exhaustedCount++,
    },
  };
  return {
    context: context as unknown as RelayContext,
    failures,
    exhaustedCount: () => exhaustedCount,
  };
}

describe('RequestDispatcher', () => {
  it('guards against counting requests for the retry budget that no worker ran', async () => {
    const {context, counted} = createContext();
    const dispatcher = createDispatcher(context);
    const result = await dispatcher.dispatch();
    expect(result.kind).to.equal('refused');
    expect(dispatcher.mayHaveRun).to.equal(false);
    expect(counted).to.deep.equal([]);
  });

  it('guards against a failed hop whose duration and silence no line states', async () => {
    const {context, failures} = createFailingContext();
    await createDispatcher(context).dispatch();
    expect(failures).to.have.length(1);
    expect(failures[0]).to.include({
      id: 'id-1',
      vmAddress: '10.0.0.7',
      reason: 'silent',
      durationMs: 800,
      silentMs: 600,
      interims: 1,
      bytes: 25,
    });
  });

  it('guards against a retry that is not made without a reason in the log', async () => {
    const cases: Array<[Partial<MeshRoute>, boolean, string | undefined]> = [
      [{}, true, undefined],
      [{}, false, 'budget'],
      [{maxAttempts: 1}, true, 'attempts'],
      [{isIdempotent: false}, true, 'notIdempotent'],
    ];
    for (const [route, hasRetries, expected] of cases) {
      const {context, failures} = createFailingContext(hasRetries);
      await createDispatcher(context, route).dispatch();
      expect(failures[0]!['retryDenied']).to.equal(expected);
    }
  });

  it('guards against counting a cancelled request as one without retry budget', async () => {
    const {context, failures, exhaustedCount} = createFailingContext();
    const dispatcher = createDispatcher(context);
    const result = dispatcher.dispatch();
    dispatcher.cancel();
    await result;
    expect(failures[0]!['retryDenied']).to.equal('cancelled');
    expect(exhaustedCount()).to.equal(0);
  });
});
