import {expect} from 'chai';
import {setTimeout as pause} from 'node:timers/promises';
import {
  createLargeConfig,
  FollowingDataCentre,
  wholeBytesOf,
} from './following_data_centre.js';

const CONFIG_APPLY_MS = 2500; // bound of the users' larger deployments
const THIN_BYTES_PER_S = 3.5e6 / 8;
const CALLERS_SHARE = 0.5; // part of a busy link that requests take
const BUSIEST_CALLERS_SHARE = 0.97;
const INITIAL_ROUTES = 1600;
const ADDED_ROUTES = 1640;
const SETTLE_TIMEOUT_MS = 8000;
const OWN_WATCH_MS = 2700; // until a relay that follows readers has no watch of its own any more

describe('relays on thin links', function () {
  this.timeout(20_000);
  let dataCentre: FollowingDataCentre;

  beforeEach(async () => {
    dataCentre = new FollowingDataCentre({
      wideCount: 2,
      thinCount: 16,
      remoteCount: 2,
      thinBytesPerS: THIN_BYTES_PER_S,
    });
    await dataCentre.start(createLargeConfig(1, INITIAL_ROUTES));
    await dataCentre.untilFollowing(1, SETTLE_TIMEOUT_MS);
    await pause(OWN_WATCH_MS);
    dataCentre.setThinBytesPerS(THIN_BYTES_PER_S * (1 - CALLERS_SHARE));
  });

  afterEach(() => dataCentre.close());

  it('guard against a large change that is late while callers use the links', async () => {
    expect(await measureLargeChangeMs()).to.be.below(CONFIG_APPLY_MS);
  });

  it('guard against a large change that is late because a reader stops during its transfer', async () => {
    setTimeout(() => dataCentre.stopRelay(0), 200);
    expect(await measureLargeChangeMs()).to.be.below(CONFIG_APPLY_MS);
  });

  it('guard against a large change that is late because a reader stopped shortly before it', async () => {
    dataCentre.stopRelay(0);
    await pause(100);
    expect(await measureLargeChangeMs()).to.be.below(CONFIG_APPLY_MS);
  });

  it('guard against a large change that is late because all readers of the data centre stop', async () => {
    dataCentre.stopRelay(0);
    dataCentre.stopRelay(1);
    expect(await measureLargeChangeMs()).to.be.below(CONFIG_APPLY_MS);
  });

  it('guard against a large change that is late because no reader of the data centre reaches the store', async () => {
    dataCentre.blockLink(0, SETTLE_TIMEOUT_MS);
    dataCentre.blockLink(1, SETTLE_TIMEOUT_MS);
    expect(await measureLargeChangeMs()).to.be.below(CONFIG_APPLY_MS);
  });

  it('guard against full reads by all relays because their readers lose the store for a moment', async () => {
    const beforeBytes = dataCentre.receivedBytes();
    dataCentre.blockLink(0, 1800);
    dataCentre.blockLink(1, 1800);
    await pause(4000);
    expect(dataCentre.maxReceivedSince(beforeBytes)).to.be.below(
      wholeBytesOf(INITIAL_ROUTES) / 4,
    );
  });

  it('guard against reading everything beside a change that arrives slowly', async () => {
    const beforeBytes = dataCentre.receivedBytes();
    dataCentre.setThinBytesPerS(THIN_BYTES_PER_S * (1 - BUSIEST_CALLERS_SHARE));
    await measureLargeChangeMs(SETTLE_TIMEOUT_MS);
    expect(dataCentre.maxReceivedSince(beforeBytes)).to.be.below(
      wholeBytesOf(INITIAL_ROUTES) / 2,
    );
  });

  /** Adds routes and returns the time until the last relay has them, in ms. */
  async function measureLargeChangeMs(
    timeoutMs = 2 * CONFIG_APPLY_MS,
  ): Promise<number> {
    dataCentre.store.putConfig(
      createLargeConfig(2, INITIAL_ROUTES + ADDED_ROUTES),
    );
    const arrivalsMs = await dataCentre.measureArrivalsMs(2, timeoutMs);
    return Math.max(...arrivalsMs);
  }
});
