import {expect} from 'chai';
import {FakeFleet} from './fake_fleet.js';

const SEED = 11;
// By then, the updates caused by the start are no longer sent.
const WARM_UP_MS = 110_000;
const DURATION_S = 5;
const MAX_IDLE_BYTES_PER_SECOND = 2000;

describe('membership traffic of an idle data centre', () => {
  for (const size of [25, 50, 100]) {
    it(`guards against more than 2 KB/s per daemon with ${size} members`, async () => {
      const fleet = new FakeFleet(size, SEED, true);
      await fleet.run(WARM_UP_MS);
      const sentBytesBefore = fleet.daemons.map(daemon => daemon.sentBytes);
      await fleet.run(DURATION_S * 1000);
      const bytesPerSecond = fleet.daemons.map(
        (daemon, index) =>
          (daemon.sentBytes - sentBytesBefore[index]!) / DURATION_S,
      );
      const mean = bytesPerSecond.reduce((sum, bytes) => sum + bytes, 0) / size;
      const max = Math.max(...bytesPerSecond);
      console.log(
        `      members=${size} bytes_per_s_mean=${Math.round(mean)} bytes_per_s_max=${Math.round(max)}`,
      );
      expect(max).to.be.at.most(MAX_IDLE_BYTES_PER_SECOND);
    }).timeout(180_000);
  }
});
