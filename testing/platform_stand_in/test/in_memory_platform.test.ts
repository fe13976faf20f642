import {expect} from 'chai';
import {ManualClock} from '@carobseam/core.clock';
import {
  InMemoryPlatformReader,
  InMemoryPlatform,
} from '@carobseam/testing.platform_stand_in';

function setUp(limitCallsPerSecond = 100) {
  const clock = new ManualClock();
  const state = new InMemoryPlatform({clock, limitCallsPerSecond});
  return {clock, state, reader: new InMemoryPlatformReader(state)};
}

describe('PlatformState', () => {
  it('counts a pending watch as one call and wakes it on a change', async () => {
    const {state, reader} = setUp();
    state.put('k', new Uint8Array([1]));
    const first = await reader.read('k');
    const watch = reader.watch('k', {afterIndex: first!.index, waitMs: 1000});
    state.put('k', new Uint8Array([2]));
    expect((await watch)!.bytes).to.deep.equal(new Uint8Array([2]));
    expect(state.getStats().calls).to.equal(2);
  });

  it('refuses calls over the limit', async () => {
    const {reader} = setUp(1);
    await reader.read('k');
    const error = await reader.read('k').catch((e: Error) => e);
    expect(error).to.have.property('code', 'PLATFORM_LIMITED');
  });

  it('serves old data while it is stale', async () => {
    const {state, reader} = setUp();
    state.put('k', new Uint8Array([1]));
    state.setFaults({stale: true});
    state.put('k', new Uint8Array([2]));
    expect((await reader.read('k'))!.bytes[0]).to.equal(1);
    state.setFaults({stale: false});
    expect((await reader.read('k'))!.bytes[0]).to.equal(2);
  });

  it('shows changes after its lag', async () => {
    const {clock, state, reader} = setUp();
    state.setFaults({lagMs: 500});
    state.put('k', new Uint8Array([1]));
    expect(await reader.read('k')).to.equal(undefined);
    clock.advance(500);
    expect((await reader.read('k'))!.bytes[0]).to.equal(1);
  });
});
