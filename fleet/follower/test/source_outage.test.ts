import {expect} from 'chai';
import {OutageModel, type SourceFault} from './outage_model.js';

const START_MS = 6000; // longer than the search for readers takes
const STEP_MS = 20;
const HOP_MS = 100; // a request needs this time to the worker, over another relay
const LAPSE_MS = 4500; // three missed reports of a worker
const CUT_MS = 5500;
const REGISTER_AFTER_MS = [100, 1000, 1950]; // by the users' pages, within about 2 s
/** Limits of the users' small and large sites, in ms. */
const SITES = [
  {drainMs: 2000, contactMs: 3000},
  {drainMs: 3000, contactMs: 4000},
];
/** Time between the end of an outage and a removal, in ms. */
const REMOVED_AFTER_MS = [-3000, -1000, -100, 0, 100, 600, 1000, 1500, 2500];
const FAULTS: SourceFault[] = ['silent', 'refusing'];

type Site = (typeof SITES)[number];

/** A change of the model at a time after the begin of an outage, in ms. */
type Step = [atMs: number, change: () => void];

interface Expectations {
  outageMs: number;
  steps: Step[];
  /** Relays that the outage concerns. */
  observers: readonly number[];
  /** VMs whose workers live on; they must be used all the time. */
  kept?: readonly number[];
  /** VM whose worker leaves, and when, in ms after the begin of the outage. */
  leaver?: number;
  leavesMs?: number;
}

/**
 * Plays an outage and checks that workers which run on are used all the time, and
 * that one which leaves is not used after the limit.
 */
async function play(
  model: OutageModel,
  {drainMs, contactMs}: Site,
  expectations: Expectations,
): Promise<void> {
  const {outageMs, observers, kept = []} = expectations;
  const {leaver, leavesMs = 0} = expectations;
  const steps = [...expectations.steps].sort(([a], [b]) => a - b);
  const goneByMs = Math.max(leavesMs + drainMs, outageMs + contactMs) - HOP_MS;
  const endMs = Math.max(outageMs, leavesMs) + contactMs + drainMs;
  for (let nowMs = 0; nowMs < endMs; nowMs += STEP_MS) {
    while (steps.length > 0 && steps[0]![0] <= nowMs) {
      steps.shift()![1]();
    }
    await model.clock.advanceAsync(STEP_MS);
    for (const relay of observers) {
      for (const worker of kept) {
        if (!model.uses(relay, worker)) {
          expect.fail(`relay ${relay} drops worker ${worker} at ${nowMs} ms`);
        }
      }
      const isLate = leaver !== undefined && nowMs >= goneByMs;
      if (isLate && model.uses(relay, leaver)) {
        expect.fail(
          `relay ${relay} uses worker ${leaver}, which left at ${leavesMs} ms, at ${nowMs} ms`,
        );
      }
    }
  }
  model.close();
}

async function startModel(
  relayCounts: readonly number[],
  {contactMs}: Site,
  seed: number,
): Promise<OutageModel> {
  const model = new OutageModel({relayCounts, contactMs, seed});
  // Calls are in different phases when the outage begins.
  await model.clock.advanceAsync(START_MS + seed * 130);
  return model;
}

const range = (count: number) => Array.from({length: count}, (_, n) => n);

/** Steps in which entries expire and are registered again. */
function lapse(
  model: OutageModel,
  relays: readonly number[],
  expiresMs: number,
  registersMs: number,
): Step[] {
  return relays.flatMap((relay): Step[] => [
    [expiresMs, () => model.remove(relay)],
    [registersMs, () => model.put(relay)],
  ]);
}

/** Steps in which a worker leaves, with or without a report that it drains. */
function leave(
  model: OutageModel,
  relay: number,
  leavesMs: number,
  reports: boolean,
): Step[] {
  return [
    [
      leavesMs,
      () =>
        reports ? model.put(relay, {isLeaving: true}) : model.remove(relay),
    ],
    [leavesMs + 1000, () => (reports ? model.remove(relay) : undefined)],
  ];
}

for (const site of SITES) {
  describe(`outage of the source, contact within ${site.contactMs} ms`, () => {
    for (const reports of [false, true]) {
      const how = reports ? 'reports that it drains' : 'is removed';
      it(`guards against requests to a worker that ${how} around a cut of one VM`, async () => {
        for (const [seed, afterMs] of REMOVED_AFTER_MS.entries()) {
          for (const leaver of [1, 4]) {
            const model = await startModel([3, 3], site, seed);
            const leavesMs = CUT_MS + afterMs;
            model.cutFromSource(0, CUT_MS);
            await play(model, site, {
              ...{outageMs: CUT_MS, observers: [0], leaver, leavesMs},
              kept: [2, 5],
              steps: leave(model, leaver, leavesMs, reports),
            });
          }
        }
      });

      it(`guards against requests to a worker that ${how} around a cut of a data centre`, async () => {
        for (const [seed, afterMs] of REMOVED_AFTER_MS.entries()) {
          const model = await startModel([3, 3], site, seed);
          const leavesMs = CUT_MS + afterMs;
          model.cutDataCentre(0, CUT_MS);
          await play(model, site, {
            ...{outageMs: CUT_MS, observers: [0, 1, 2], leaver: 4, leavesMs},
            kept: [0, 1, 2, 3],
            steps: leave(model, 4, leavesMs, reports),
          });
        }
      });
    }

    for (const registersMs of REGISTER_AFTER_MS) {
      const registered = `registers again after ${registersMs} ms`;
      it(`guards against dropping a worker that is cut off with the VM and ${registered}`, async () => {
        for (const seed of range(6)) {
          const model = await startModel([3, 3], site, seed);
          model.cutFromSource(0, CUT_MS);
          await play(model, site, {
            ...{outageMs: CUT_MS, observers: [0], kept: range(6)},
            steps: lapse(model, [0], LAPSE_MS, CUT_MS + registersMs),
          });
        }
      });

      it(`guards against both faults in a data centre that is cut off: a worker ${registered}, another one leaves`, async () => {
        for (const [seed, afterMs] of REMOVED_AFTER_MS.entries()) {
          const model = await startModel([3, 3], site, seed);
          const leavesMs = CUT_MS + afterMs;
          model.cutDataCentre(0, CUT_MS);
          await play(model, site, {
            ...{outageMs: CUT_MS, observers: [0, 1, 2], leaver: 4, leavesMs},
            kept: [0, 1, 2, 3, 5],
            steps: [
              ...lapse(model, [0, 1, 2], LAPSE_MS, CUT_MS + registersMs),
              ...leave(model, 4, leavesMs, false),
            ],
          });
        }
      });

      for (const fault of FAULTS) {
        for (const relayCounts of [[3, 3], [8]]) {
          const count = relayCounts.reduce((sum, size) => sum + size, 0);
          const where = `${relayCounts.length} data centres, ${fault}`;
          it(`guards against both faults after an outage for all (${where}): a worker ${registered}, another one leaves`, async () => {
            for (const [seed, afterMs] of REMOVED_AFTER_MS.entries()) {
              const model = await startModel(relayCounts, site, seed);
              const outageMs = CUT_MS;
              const leavesMs = outageMs + afterMs;
              const leaver = count - 1;
              model.setFault(fault);
              await play(model, site, {
                ...{outageMs, observers: range(count), leaver, leavesMs},
                kept: range(count - 1),
                steps: [
                  [outageMs, () => model.setFault()],
                  ...lapse(
                    model,
                    range(count - 1),
                    LAPSE_MS,
                    outageMs + registersMs,
                  ),
                  ...leave(model, leaver, leavesMs, false),
                ],
              });
            }
          });
        }
      }

      it(`guards against a reader that starts after the outage and does not know a worker that ${registered}`, async () => {
        for (const seed of range(6)) {
          const model = await startModel([8], site, seed);
          const reader = range(8).find(relay => model.isReader(relay))!;
          model.setFault('silent');
          await play(model, site, {
            outageMs: CUT_MS,
            observers: range(8).filter(relay => relay !== reader),
            kept: range(8),
            steps: [
              [CUT_MS - 500, () => model.restart(reader)],
              [CUT_MS, () => model.setFault()],
              ...lapse(model, range(8), LAPSE_MS, CUT_MS + registersMs),
            ],
          });
        }
      });

      for (const relayCounts of [[3, 3], [8]]) {
        const count = relayCounts.reduce((sum, size) => sum + size, 0);
        it(`guards against both faults after a restore from a copy (${count} relays): a worker ${registered}, another one leaves`, async () => {
          for (const [seed, afterMs] of REMOVED_AFTER_MS.entries()) {
            const model = await startModel(relayCounts, site, seed);
            model.remove(1);
            const copy = model.copy();
            model.put(1);
            await model.clock.advanceAsync(3000);
            const outageMs = 1000;
            const leavesMs = outageMs + Math.max(0, afterMs);
            const leaver = count - 1;
            model.setFault('refusing');
            await play(model, site, {
              ...{outageMs, observers: range(count), leaver, leavesMs},
              kept: range(count - 1),
              steps: [
                [outageMs, () => model.restore(copy)],
                [outageMs, () => model.setFault()],
                [outageMs + registersMs, () => model.put(1)],
                ...leave(model, leaver, leavesMs, false),
              ],
            });
          }
        });
      }
    }
  });
}
