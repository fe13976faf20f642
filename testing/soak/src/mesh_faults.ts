import {setTimeout as pause} from 'node:timers/promises';
import {oddEntries} from './odd_entries.js';
import {plannedStops} from './planned_stops.js';
import {
  between,
  faultMs,
  harm,
  vmFaults,
  type MeshFault,
} from './soak_faults.js';

const ROLL_VMS = 6;
const ROLL_GAP_MS = 300;
const MAX_RESTORES = 2;
const MAX_LOST_REPORTS = 6; // of each worker; more than are written again, so that the revision stays behind
const MAX_COPY_AGE_MS = 4000; // covers a change of the configuration and some of the workers
const ODD_ENTRIES = 40;
const ODD_GAP_MS = 150; // long enough for a change of the configuration and its check
const STORM_CHANGES = 10;
const STORM_GAP_MS = 60; // as fast as the users' operators change it

const awayStore =
  (mood: 'refusing' | 'resetting' | 'silent'): MeshFault =>
  async ({mesh, random}) => {
    mesh.storeFaultMs = Infinity;
    mesh.store.mode = mood;
    await pause(faultMs(random));
    mesh.store.mode = 'serving';
    mesh.storeFaultMs = performance.now();
  };

/** Restores the store from a copy, after an outage that may be unnoticeable. */
const restoreStore: MeshFault = async ({mesh, random}) => {
  const restores = 1 + random.nextInt(MAX_RESTORES);
  for (let count = 0; count < restores; count++) {
    const copy = mesh.store.copy();
    await pause(between(random, 0, MAX_COPY_AGE_MS));
    for (
      let reports = random.nextInt(MAX_LOST_REPORTS);
      reports > 0;
      reports--
    ) {
      mesh.reportWorkers();
    }
    mesh.storeFaultMs = Infinity;
    mesh.store.mode = 'resetting';
    await pause(random.nextInt(2) * faultMs(random));
    mesh.store.mode = 'serving';
    await mesh.restoreStore(copy);
    mesh.storeFaultMs = performance.now();
  }
};

const stormConfig: MeshFault = async ({mesh}) => {
  for (let change = 0; change < STORM_CHANGES; change++) {
    mesh.changeConfig();
    await pause(STORM_GAP_MS);
  }
};

/** Another program writes entries of workers that can't be used. */
const writeOddEntries: MeshFault = async ({mesh, random}) => {
  const makers = Object.values(oddEntries);
  const ids: string[] = [];
  for (let count = 0; count < ODD_ENTRIES; count++) {
    // Some replace each other under one key.
    const id = `odd-${random.nextInt(ODD_ENTRIES)}`;
    ids.push(id);
    mesh.store.putWorkerBytes(id, makers[count % makers.length]!());
    await pause(ODD_GAP_MS);
  }
  ids.forEach(id => mesh.store.removeWorker(id));
};

/** Faults of the store and changes of the operators. */
export const meshFaults: Record<string, MeshFault> = {
  storeRefuses: awayStore('refusing'),
  storeResets: awayStore('resetting'),
  storeSilent: awayStore('silent'),
  compact: ({mesh}) => Promise.resolve(mesh.store.compact()),
  restoreStore,
  stormConfig,
  writeOddEntries,
  ...plannedStops,
  /** Stops one relay after the other while others lack processor time. */
  rollStarved: async context => {
    const idle = context.mesh.vms.filter(vm => !vm.isBusy).slice(0, ROLL_VMS);
    const faults = [vmFaults['terminate']!, vmFaults['starve']!];
    await Promise.all(
      idle.map(async (vm, index) => {
        await pause(index * ROLL_GAP_MS);
        if (!vm.isBusy) {
          await harm(vm, faults[index % faults.length]!, context);
        }
      }),
    );
  },
  killAll: async context => {
    const {vms} = context.mesh;
    const idle = vms.filter(vm => !vm.isBusy);
    await Promise.all(idle.map(vm => harm(vm, vmFaults['kill']!, context)));
  },
};
