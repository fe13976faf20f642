import type {RandomSource} from '@carobseam/core.types';
import {setTimeout as pause} from 'node:timers/promises';
import type {LinkMood} from './fault_proxy.js';
import type {LeavingCallers} from './leaving_callers.js';
import {
  CONTACT_MS,
  DRAIN_MS,
  GRACE_MS,
  isCalmSince,
  type SoakMesh,
  type SoakVm,
} from './soak_mesh.js';
import type {ToldArrival, WorkerMood} from './soak_worker.js';

const MIN_FAULT_MS = 200;
const MAX_FAULT_MS = 2000; // above the silence after which relays give up on each other
const MAX_PAUSES = 4;
const MIN_PAUSE_MS = 300;
const MAX_PAUSE_MS = 1500; // as long as a relay without processor time was silent
const MAX_PAUSE_GAP_MS = 500;
const MIN_THROTTLE_MS = 1000;
const MAX_THROTTLE_MS = 4000;
const THROTTLED_MS = 70; // of each period, as under a limit of 0.3 of a core
const THROTTLE_PERIOD_MS = 100;
const RELOADS = 4;
const MAX_RELOAD_GAP_MS = 400;
const LAPSE_MS = 4500; // three missed reports of a worker
const SERVE_ON_MS = 400; // a drained worker serves a little longer than it must
const TOLD_MS = 500; // from which a VM that passed on a limit must keep to it
const LIMIT_WINDOW_MS = 4000;
const LIMIT_SLACK_FACTOR = 1.5;
const LIMIT_SLACK_REQUESTS = 5;
const MAX_LIMIT_PER_S = 12; // an equal share of the soak's requests is about twice as many
const MAX_LIMITED_MS = 9000;
const MIN_LEAVING_MS = 1500;
const MAX_LEAVING_MS = 4500; // longer than relays are throttled, so that callers leave after it too
const MAX_RESTART_MS = 600; // the platform restarts a process after a short pause

/** What a fault needs. */
export interface FaultContext {
  mesh: SoakMesh;
  leavers: LeavingCallers;
  random: RandomSource;
  /** Reports a broken promise. */
  broken: (text: string) => void;
  lastRunMs: (workerId: string) => number;
}

/** A fault of one VM. */
export type VmFault = (vm: SoakVm, context: FaultContext) => Promise<void>;

/** A fault of the store or of several VMs. */
export type MeshFault = (context: FaultContext) => Promise<void>;

/** Length of a fault, in ms. */
export function faultMs(random: RandomSource): number {
  return between(random, MIN_FAULT_MS, MAX_FAULT_MS);
}

/** A number of a range, in the range's unit. */
export function between(
  random: RandomSource,
  min: number,
  max: number,
): number {
  return min + random.nextFloat() * (max - min);
}

/** Starts a VM's relay again, as the platform does. */
export async function restart(
  vm: SoakVm,
  context: FaultContext,
): Promise<void> {
  await pause(context.random.nextFloat() * MAX_RESTART_MS);
  context.mesh.startRelay(vm);
}

const kill: VmFault = async (vm, context) => {
  vm.endedMs = performance.now();
  vm.cutMs = Infinity;
  await vm.process!.kill();
  vm.cutMs = performance.now();
  await restart(vm, context);
};

const terminate: VmFault = async (vm, context) => {
  const startMs = performance.now();
  vm.stopMs = startMs;
  await vm.process!.stop();
  vm.endedMs = performance.now();
  if (vm.endedMs > startMs + GRACE_MS) {
    vm.cutMs = vm.endedMs;
  }
  await restart(vm, context);
};

const suspend: VmFault = async (vm, {random}) => {
  vm.process!.signal('SIGSTOP');
  await pause(faultMs(random));
  vm.process!.signal('SIGCONT');
};

/** Takes the processor from a relay several times. */
const starve: VmFault = async (vm, {random}) => {
  const process = vm.process!; // not the one that may follow it
  const pauses = 1 + random.nextInt(MAX_PAUSES);
  for (let count = 0; count < pauses; count++) {
    process.signal('SIGSTOP');
    await pause(between(random, MIN_PAUSE_MS, MAX_PAUSE_MS));
    process.signal('SIGCONT');
    await pause(between(random, 0, MAX_PAUSE_GAP_MS));
  }
};

const throttle: VmFault = async (vm, {random}) => {
  const process = vm.process!;
  const endMs =
    performance.now() + between(random, MIN_THROTTLE_MS, MAX_THROTTLE_MS);
  while (performance.now() < endMs) {
    process.signal('SIGSTOP');
    await pause(THROTTLED_MS);
    process.signal('SIGCONT');
    await pause(THROTTLE_PERIOD_MS - THROTTLED_MS);
  }
};

const reload: VmFault = async (vm, context) => {
  const process = vm.process!;
  for (let count = 0; count < RELOADS; count++) {
    process.signal('SIGHUP');
    await pause(between(context.random, 0, MAX_RELOAD_GAP_MS));
  }
  // SIGHUP ends a process that has not installed its handler yet. The platform
  // restarts processes that end.
  if (process.endSignal === 'SIGHUP') {
    vm.cutMs = performance.now();
    await restart(vm, context);
  }
};

/** Several faults of one VM at the same time. */
export const together =
  (...faults: VmFault[]): VmFault =>
  async (vm, context) => {
    await Promise.all(faults.map(fault => fault(vm, context)));
  };

const harmLink =
  (of: (vm: SoakVm) => SoakVm['inboundProxy'], mood: LinkMood): VmFault =>
  async (vm, {random}) => {
    of(vm).mood = mood;
    vm.cutMs = mood === 'slow' ? vm.cutMs : Infinity;
    await pause(faultMs(random));
    of(vm).mood = 'passing';
    of(vm).resetAll();
    vm.cutMs = performance.now();
  };

const resetLink: VmFault = vm => {
  vm.cutMs = performance.now();
  vm.inboundProxy.resetAll();
  return Promise.resolve();
};

const crashWorker: VmFault = async (vm, {mesh, random}) => {
  const {id} = vm.worker;
  vm.cutMs = performance.now();
  await vm.worker.crash();
  setTimeout(() => mesh.store.removeWorker(id), LAPSE_MS);
  await pause(faultMs(random));
  await mesh.startWorker(vm);
};

const drainWorker: VmFault = async (vm, {mesh, broken, lastRunMs}) => {
  const {id} = vm.worker;
  vm.worker.isDraining = true;
  mesh.store.putWorker(mesh.entryOf(vm));
  const leavesMs = performance.now();
  await pause(DRAIN_MS + SERVE_ON_MS);
  const lateMs = lastRunMs(id) - leavesMs - DRAIN_MS;
  const isCalm =
    isCalmSince(vm, leavesMs - CONTACT_MS) &&
    mesh.storeFaultMs < leavesMs - CONTACT_MS;
  if (lateMs > 0 && isCalm) {
    broken(`worker ${id} got a request ${Math.round(lateMs)} ms too late`);
  }
  vm.cutMs = performance.now();
  await vm.worker.crash();
  mesh.store.removeWorker(id);
  await mesh.startWorker(vm);
};

const isBound = ({vms}: SoakMesh, {vmIndex, toldMs}: ToldArrival) =>
  vms[vmIndex] !== undefined && isCalmSince(vms[vmIndex], toldMs);

const limitWorker: VmFault = async (vm, {mesh, random, broken}) => {
  const {worker} = vm;
  const perS = between(random, 1, MAX_LIMIT_PER_S);
  worker.stateLimit(perS);
  const firstMs = performance.now() + CONTACT_MS;
  await pause(between(random, CONTACT_MS, MAX_LIMITED_MS));
  const arrivals = worker.toldArrivals.filter(
    arrival =>
      arrival.atMs - arrival.toldMs >= TOLD_MS && isBound(mesh, arrival),
  );
  const most = LIMIT_SLACK_FACTOR * perS * (LIMIT_WINDOW_MS / 1000);
  for (const {atMs} of arrivals.filter(arrival => arrival.atMs >= firstMs)) {
    const count = arrivals.filter(
      other => other.atMs > atMs - LIMIT_WINDOW_MS && other.atMs <= atMs,
    ).length;
    if (count > most + LIMIT_SLACK_REQUESTS) {
      broken(
        `worker ${worker.id} got ${count} requests in 4 s, stated ${perS.toFixed(1)} a second`,
      );
      break;
    }
  }
  worker.stateNothing();
};

/** A worker that says in its responses that it leaves, before its entry does. */
const leaveUnlisted: VmFault = async (vm, {mesh, broken}) => {
  const {worker} = vm;
  worker.stateLeaving();
  await pause(DRAIN_MS + CONTACT_MS);
  const late = worker.toldArrivals.find(
    arrival =>
      arrival.atMs - arrival.toldMs > DRAIN_MS && isBound(mesh, arrival),
  );
  if (late) {
    broken(
      `worker ${worker.id} got a request from vm-${late.vmIndex} ${Math.round(late.atMs - late.toldMs)} ms after it had passed on that it leaves`,
    );
  }
  const {id} = worker;
  vm.cutMs = performance.now();
  await worker.crash();
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

/** Callers of this and of another VM leave before they have an answer. */
const leaveCallers: VmFault = async (vm, {mesh, leavers, random}) => {
  const endMs =
    performance.now() + between(random, MIN_LEAVING_MS, MAX_LEAVING_MS);
  const other = mesh.vms[random.nextInt(mesh.vms.length)]!;
  await Promise.all([leavers.visit(vm, endMs), leavers.visit(other, endMs)]);
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
  starve: {run: starve, isWorkerOnly: false},
  throttle: {run: throttle, isWorkerOnly: false},
  terminateStarved: {run: together(terminate, starve), isWorkerOnly: false},
  terminateThrottled: {run: together(terminate, throttle), isWorkerOnly: false},
  terminateReloaded: {run: together(terminate, reload), isWorkerOnly: false},
  reloadStarved: {run: together(reload, starve), isWorkerOnly: false},
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
  slowWorker: {run: spoil('slow'), isWorkerOnly: true},
  crashWorker: {run: crashWorker, isWorkerOnly: true},
  drainWorker: {run: drainWorker, isWorkerOnly: true},
  limitWorker: {run: limitWorker, isWorkerOnly: true},
  leaveUnlisted: {run: leaveUnlisted, isWorkerOnly: true},
  loseAnswers: {run: spoil('losing'), isWorkerOnly: true},
  cutAnswers: {run: spoil('cutting'), isWorkerOnly: true},
  doubleAnswers: {run: spoil('doubling'), isWorkerOnly: true},
  failAnswers: {run: spoil('failing'), isWorkerOnly: true},
  repeatRefusals: {run: spoil('repeating'), isWorkerOnly: true},
  repeatUnnamedRefusals: {run: spoil('repeatingUnnamed'), isWorkerOnly: true},
  closeInHeads: {run: spoil('closingInHead'), isWorkerOnly: true},
  resetInHeads: {run: spoil('resettingInHead'), isWorkerOnly: true},
  leaveCallers: {run: leaveCallers, isWorkerOnly: true},
  leaveStarved: {run: together(starve, leaveCallers), isWorkerOnly: false},
  leaveThrottled: {run: together(throttle, leaveCallers), isWorkerOnly: false},
};
