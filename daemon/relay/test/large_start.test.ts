import {expect} from 'chai';
import {setTimeout as pause} from 'node:timers/promises';
import {
  createLargeConfig,
  FollowingDataCentre,
  type FollowingDataCentreOptions,
  wholeBytesOf,
} from './following_data_centre.js';

const RECOVERY_MS = 15_000; // bound of the users' deployments
const CONFIG_APPLY_MS = 2500; // bound of the users' larger deployments
const STATE_FROM_PEER_MS = 700; // less than a full read over an idle thin link
const THIN_BYTES_PER_S = 3.5e6 / 8;
const CALLERS_SHARE = 0.5; // part of a busy link that requests take

async function withDataCentre(
  options: Partial<FollowingDataCentreOptions>,
  routeCount: number,
  run: (dataCentre: FollowingDataCentre) => Promise<void>,
): Promise<void> {
  const dataCentre = new FollowingDataCentre({
    wideCount: 2,
    thinCount: 6,
    thinBytesPerS: THIN_BYTES_PER_S,
    ...options,
  });
  try {
    await dataCentre.start(createLargeConfig(1, routeCount));
    await run(dataCentre);
  } finally {
    await dataCentre.close();
  }
}

describe('relays that start on thin links', function () {
  this.timeout(30_000);

  it('guard against a second whole configuration at the first change after it', async () => {
    const routeCount = 1600;
    await withDataCentre({}, routeCount, async dataCentre => {
      await dataCentre.measureArrivalsMs(1, RECOVERY_MS);
      const beforeBytes = dataCentre.receivedBytes();
      for (let version = 2; version <= 8; version++) {
        await pause(400);
        dataCentre.store.putConfig(createLargeConfig(version, routeCount));
      }
      expect(dataCentre.maxReceivedSince(beforeBytes)).to.be.below(
        wholeBytesOf(routeCount) / 4,
      );
    });
  });
});

describe('relay that starts again on a thin link', function () {
  this.timeout(20_000);

  for (const [peers, seeds] of Object.entries({
    'peers that have it': [3, 4],
    'a seed that has ended and one that has it': [7, 3],
  })) {
    it(`guards against reading the whole source beside ${peers}`, async () => {
      const routeCount = 3240;
      await withDataCentre({}, routeCount, async dataCentre => {
        await dataCentre.untilFollowing(1, RECOVERY_MS);
        dataCentre.stopRelay(7);
        await dataCentre.restartRelay(2, seeds);
        const [arrivalMs] = await dataCentre.measureArrivalsMs(1, RECOVERY_MS);
        expect(arrivalMs).to.be.below(STATE_FROM_PEER_MS);
        await pause(1000);
        const [receivedBytes] = dataCentre.receivedBytes();
        expect(receivedBytes).to.be.below(wholeBytesOf(routeCount) / 4);
        dataCentre.store.putConfig(createLargeConfig(2, routeCount));
        const arrivalsMs = await dataCentre.measureArrivalsMs(
          2,
          CONFIG_APPLY_MS,
        );
        expect(arrivalsMs[0]).to.be.below(CONFIG_APPLY_MS);
      });
    });
  }
});

describe('relays that start together on busy thin links', function () {
  this.timeout(30_000);

  it('guard against a configuration that never arrives because reading it takes longer than one time limit', async () => {
    const options = {
      wideCount: 0,
      thinCount: 16,
      thinBytesPerS: THIN_BYTES_PER_S * (1 - CALLERS_SHARE),
    };
    await withDataCentre(options, 3240, async dataCentre => {
      const arrivalsMs = await dataCentre.measureArrivalsMs(1, RECOVERY_MS);
      expect(Math.max(...arrivalsMs)).to.be.below(RECOVERY_MS);
    });
  });
});
