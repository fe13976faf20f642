import {RequestRun, type RelayContext} from '@carobseam/calls.relay';
import {ManualClock, SeededRandom} from '@carobseam/core.clock';
import type {ServiceName} from '@carobseam/core.types';
import {expect} from 'chai';
import {createRoute} from './route_fixture.js';

const DESK = 'desk' as ServiceName;

/** A context without any worker that counts what the budget sees. */
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

describe('RequestRun', () => {
  it('guards against a budget that grows with requests that nobody ran', async () => {
    const {context, counted} = createContext();
    const run = new RequestRun(context, {
      id: 'id-1',
      route: createRoute(),
      service: DESK,
      method: 'GET',
      url: '/',
      headers: [],
      body: Buffer.alloc(0),
      isLastChance: false,
      dueMs: 500,
      expiresMs: 1500,
    });
    const end = await run.run();
    expect(end.kind).to.equal('refused');
    expect(run.mayHaveRun).to.equal(false);
    expect(counted).to.deep.equal([]);
  });
});
