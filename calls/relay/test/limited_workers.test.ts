import {expect} from 'chai';
import {simulateLoad, type SimulatedRequestKind} from './load_simulator.js';

const SLOTS = 12;
const WORK_MS = 150;
const DURATION_MS = 8000;
const DEADLINE_MS = 3000;
const DATA_CENTRES = ['wien', 'linz', 'graz', 'stpoelten'];
const FREE_PER_S = (SLOTS / WORK_MS) * 1000; // of a worker without a limit

interface Deployment {
  limitsPerS: readonly number[];
  freeWorkers: number;
}

const DEPLOYMENTS: Record<string, Deployment> = {
  'few workers': {limitsPerS: [40, 35, 25, 10, 3], freeWorkers: 3},
  'many workers': {
    limitsPerS: Array.from({length: 28}, (_, index) => 4 + 3 * (index % 8)),
    freeWorkers: 12,
  },
};

function simulate(
  {limitsPerS, freeWorkers}: Deployment,
  seed: number,
  load: number,
) {
  const dataCentreAt = (index: number) =>
    DATA_CENTRES[index % DATA_CENTRES.length]!;
  const workers = [
    ...limitsPerS.map(rateLimitPerS => ({rateLimitPerS})),
    ...Array.from({length: freeWorkers}, () => ({})),
  ].map((worker, index) => ({
    ...worker,
    speed: 1,
    dataCentre: dataCentreAt(index),
  }));
  const capacityPerS =
    limitsPerS.reduce((sum, perS) => sum + perS, 0) + freeWorkers * FREE_PER_S;
  const kind: SimulatedRequestKind = {
    name: 'lookup',
    rank: 2,
    workMs: WORK_MS,
    targetLatencyMs: 500,
    deadlineMs: DEADLINE_MS,
    timeoutMs: 1500,
    requestsPerSecond: () => capacityPerS * load,
  };
  const results = simulateLoad({
    seed,
    workers,
    slots: SLOTS,
    kinds: [kind],
    durationMs: DURATION_MS,
  });
  return results.get('lookup')!;
}

describe('load control with limited workers', () => {
  for (const [name, deployment] of Object.entries(DEPLOYMENTS)) {
    for (const seed of [1, 2]) {
      it(`guards against refusals while other workers have room, ${name}, seed ${seed}`, () => {
        const {requests, inTime, late} = simulate(deployment, seed, 0.8);
        expect((inTime + late) / requests).to.be.above(0.99);
        expect(inTime / requests).to.be.above(0.95);
      });

      it(`uses what the limits leave at 1.3 times capacity and no more, ${name}, seed ${seed}`, () => {
        const {requests, inTime, late, startsByWorker} = simulate(
          deployment,
          seed,
          1.3,
        );
        expect((inTime + late) / requests).to.be.above(0.9 / 1.3);
        const seconds = (DURATION_MS + DEADLINE_MS) / 1000;
        deployment.limitsPerS.forEach((perS, index) =>
          expect(startsByWorker[index]).to.be.at.most(perS * (seconds + 1)),
        );
      });
    }
  }
});
