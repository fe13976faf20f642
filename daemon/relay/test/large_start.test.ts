import {expect} from 'chai';
import {
  createLargeConfig,
  FollowingDataCentre,
} from './following_data_centre.js';

const RECOVERY_MS = 15_000; // bound of the users' deployments
const BUSY_THIN_BYTES_PER_S = 3.5e6 / 8 / 2;

describe('relays that start together on busy thin links', function () {
  this.timeout(30_000);

  it('guard against a configuration that never arrives because reading it takes longer than one time limit', async () => {
    const dataCentre = new FollowingDataCentre({
      wideCount: 0,
      thinCount: 16,
      thinBytesPerS: BUSY_THIN_BYTES_PER_S,
    });
    try {
      await dataCentre.start(createLargeConfig(1, 3240));
      const arrivalsMs = await dataCentre.measureArrivalsMs(1, RECOVERY_MS);
      expect(Math.max(...arrivalsMs)).to.be.below(RECOVERY_MS);
    } finally {
      await dataCentre.close();
    }
  });
});
