import type {RandomSource} from '@carobseam/core.types';
import {setTimeout as pause} from 'node:timers/promises';
import type {LinkMood} from './fault_proxy.js';
import {
  DRAIN_MS,
  isCalmSince,
  type SoakMesh,
  type SoakVm,
} from './soak_mesh.js';
import type {WorkerMood} from './soak_worker.js';

const MIN_FAULT_MS = 200;
const MAX_FAULT_MS = 2000; // above the silence after which relays give up on each other
const LAPSE_MS = 4500; // three missed reports of a worker
const CONTACT_MS = 3000; // bounds hold for relays that were calm for as long
const SERVE_ON_MS = 400; // a drained worker serves a little longer than it must
const MAX_RESTART_MS = 600; // the platform restarts a process after a short pause

/** What a fault needs. */
export interface FaultContext {
  mesh: SoakMesh;
  random: RandomSource;
  /** Reports a broken promise. */
  broken: (text: string) => void;
  lastRunMs: (workerId: string) => number;
}

type VmFault = (vm: SoakVm, context: FaultContext) => Promise<void>;
type MeshFault = (context: FaultContext) => Promise<void>;

function faultMs(random: RandomSource): number {
  return MIN_FAULT_MS + random.nextFloat() * (MAX_FAULT_MS - MIN_FAULT_MS);
}

async function restart(vm: SoakVm, context: FaultContext): Promise<void> {
  await pause(context.random.nextFloat() * MAX_RESTART_MS);
  context.mesh.startRelay(vm);
}

const kill: VmFault = async (vm, context) => {
  vm.endedMs = performance.now();
  await vm.process!.kill();
  await restart(vm, context);
};

const terminate: VmFault = async (vm, context) => {
  const process = vm.process!;
  await process.stop();
  vm.endedMs = performance.now();
  await restart(vm, context);
};

const suspend: VmFault = async (vm, {random}) => {
  vm.process!.signal('SIGSTOP');
  await pause(faultMs(random));
  vm.process!.signal('SIGCONT');
};

const reload: VmFault = vm => {
  vm.process!.signal('SIGHUP');
  return Promise.resolve();
};

const harmLink =
  (of: (vm: SoakVm) => SoakVm['inboundProxy'], mood: LinkMood): VmFault =>
  async (vm, {random}) => {
    of(vm).mood = mood;
    await pause(faultMs(random));
    of(vm).mood = 'passing';
    of(vm).resetAll();
  };

const resetLink: VmFault = vm => {
  vm.inboundProxy.resetAll();
  return Promise.resolve();
};

const crashWorker: VmFault = async (vm, {mesh, random}) => {
  const {id} = vm.worker;
  await vm.worker.crash();
  setTimeout(() => mesh.store.removeWorker(id), LAPSE_MS);
  await pause(faultMs(random));
  await mesh.startWorker(vm);
};

const drainWorker: VmFault = async (vm, {mesh, broken, lastRunMs}) => {
  const {id} = vm.worker;
  mesh.store.putWorker(mesh.entryOf(vm, true));
  const leavesMs = performance.now();
  await pause(DRAIN_MS + SERVE_ON_MS);
  const lateMs = lastRunMs(id) - leavesMs - DRAIN_MS;
  const isCalm =
    isCalmSince(vm, leavesMs - CONTACT_MS) &&
    mesh.storeFaultMs < leavesMs - CONTACT_MS;
  if (lateMs > 0 && isCalm) {
    broken(`worker ${id} got a request ${Math.round(lateMs)} ms too late`);
  }
  await vm.worker.crash();
  mesh.store.removeWorker(id);
  await mesh.startWorker(vm);
};

const spoil =
  (mood: WorkerMood): VmFault =>
  async (vm, {random}) => {
    vm.worker.mood = mood;
    await pause(faultMs(random));
    vm.worker.mood = 'sound';
  };

/** Runs a fault and notes that the VM is not calm. */
export async function harm(
  vm: SoakVm,
  fault: (typeof vmFaults)[string],
  context: FaultContext,
): Promise<void> {
  vm.isBusy = true;
  vm.isHarmed = !fault.isWorkerOnly;
  await fault.run(vm, context);
  vm.faultMs = fault.isWorkerOnly ? vm.faultMs : performance.now();
  vm.isHarmed = false;
  vm.isBusy = false;
}

/** Faults of one VM; `isWorkerOnly` ones leave its relay calm. */
export const vmFaults: Record<string, {run: VmFault; isWorkerOnly: boolean}> = {
  kill: {run: kill, isWorkerOnly: false},
  terminate: {run: terminate, isWorkerOnly: false},
  suspend: {run: suspend, isWorkerOnly: false},
  reload: {run: reload, isWorkerOnly: false},
  slowLink: {run: harmLink(vm => vm.inboundProxy, 'slow'), isWorkerOnly: false},
  oneWayLink: {
    run: harmLink(vm => vm.inboundProxy, 'oneWay'),
    isWorkerOnly: false,
  },
  silentLink: {
    run: harmLink(vm => vm.inboundProxy, 'silent'),
    isWorkerOnly: false,
  },
  resetLink: {run: resetLink, isWorkerOnly: false},
  silentStoreLink: {
    run: harmLink(vm => vm.storeProxy, 'silent'),
    isWorkerOnly: false,
  },
  crashWorker: {run: crashWorker, isWorkerOnly: true},
  drainWorker: {run: drainWorker, isWorkerOnly: true},
  loseAnswers: {run: spoil('losing'), isWorkerOnly: true},
  cutAnswers: {run: spoil('cutting'), isWorkerOnly: true},
  doubleAnswers: {run: spoil('doubling'), isWorkerOnly: true},
  failAnswers: {run: spoil('failing'), isWorkerOnly: true},
};

const awayStore =
  (mood: 'refusing' | 'resetting' | 'silent'): MeshFault =>
  async ({mesh, random}) => {
    mesh.storeFaultMs = Infinity;
    mesh.store.mode = mood;
    await pause(faultMs(random));
    mesh.store.mode = 'serving';
    mesh.storeFaultMs = performance.now();
  };

const stormConfig: MeshFault = async ({mesh}) => {
  for (let change = 0; change < STORM_CHANGES; change++) {
    mesh.changeConfig();
    await pause(STORM_GAP_MS);
  }
};

const STORM_CHANGES = 10;
const STORM_GAP_MS = 60; // as fast as the users' operators change it

/** Faults of the store and changes of the operators. */
export const meshFaults: Record<string, MeshFault> = {
  storeRefuses: awayStore('refusing'),
  storeResets: awayStore('resetting'),
  storeSilent: awayStore('silent'),
  compact: ({mesh}) => Promise.resolve(mesh.store.compact()),
  stormConfig,
  killAll: async context => {
    const {vms} = context.mesh;
    const idle = vms.filter(vm => !vm.isBusy);
    await Promise.all(idle.map(vm => harm(vm, vmFaults['kill']!, context)));
  },
};
