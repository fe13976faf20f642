import {expect} from 'chai';
import fc from 'fast-check';
import {runFleetModel, type ModelResult} from './fleet_model.js';
import type {ModelSwitches} from './model_daemon.js';

const SEEDS = Array.from({length: 16}, (_, index) => index + 1);

function runSeeds(switches: Partial<ModelSwitches>): ModelResult[] {
  return SEEDS.map(seed => runFleetModel({seed, faultRate: 0.02, ...switches}));
}

function sum(results: ModelResult[], name: keyof ModelResult): number {
  return results.reduce((total, result) => total + result[name], 0);
}

describe('at-most-once execution in a simulated fleet with faults', () => {
  // Guards against a model whose faults never exercise the check.
  for (const name of [
    'delayedRestart',
    'pauseCheck',
    'exitedDaemonsCount',
  ] as const) {
    it(`executes some keys twice without ${name}`, () => {
      expect(sum(runSeeds({[name]: false}), 'doubled')).to.be.greaterThan(0);
    });
  }

  // Guards against checks that refuse so many requests that no fault can show.
  it('executes no key twice with every check, and most keys once', () => {
    const results = runSeeds({});
    expect(sum(results, 'doubled')).to.equal(0);
    expect(sum(results, 'executed')).to.be.greaterThan(
      sum(results, 'operations') / 2,
    );
  });

  // Guards against double execution, wrong refusals and calls that never end.
  it('executes no key twice for random seeds and fault rates', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: 2 ** 31 - 1}),
        fc.constantFrom(0.01, 0.02, 0.05, 0.2),
        (seed, faultRate) => {
          expect(runFleetModel({seed, faultRate})).to.include({
            doubled: 0,
            falseNotRun: 0,
            falseDone: 0,
            unfinished: 0,
          });
        },
      ),
      {seed: 20_261_204, numRuns: 24, endOnFailure: true},
    );
  });
});
