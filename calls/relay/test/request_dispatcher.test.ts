import {RequestDispatcher, type RelayContext} from '@carobseam/calls.relay';
import {ManualClock, SeededRandom} from '@carobseam/core.clock';
import type {ServiceName} from '@carobseam/core.types';
import {expect} from 'chai';
import {createRoute} from './route_fixture.js';

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

describe('RequestDispatcher', () => {
  it('guards against counting requests for the retry budget that no worker ran', async () => {
    const {context, counted} = createContext();
    const dispatcher = new RequestDispatcher(context, {
      id: 'id-1',
      route: createRoute(),
      service: DESK,
      method: 'GET',
      url: '/',
      headers: [],
      body: Buffer.alloc(0),
      isLastCallerAttempt: false,
      dueAtMs: 500,
      expiresAtMs: 1500,
    });
    const result = await dispatcher.dispatch();
    expect(result.kind).to.equal('refused');
    expect(dispatcher.mayHaveRun).to.equal(false);
    expect(counted).to.deep.equal([]);
  });
});
