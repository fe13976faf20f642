import type {RandomSource} from '@carobseam/core.types';
import {setTimeout as pause} from 'node:timers/promises';
import {
  between,
  harm,
  restart,
  together,
  vmFaults,
  type FaultContext,
  type MeshFault,
  type VmFault,
} from './soak_faults.js';
import {GRACE_MS, type SoakVm} from './soak_mesh.js';

const LEAD_MS = 2000; // slow requests are in flight at the first signal
const WAVES = 3;
const WAVE_VMS = 4; // as many as the users' platform stops at a time
const BESIDE_VMS = 2; // harmed beside each wave
const MAX_SIGNAL_GAP_MS = 600; // within a wave
const MIN_WAVE_GAP_MS = 500;
const MAX_WAVE_GAP_MS = 4500; // the wave before still drains
const MAX_LATE_MS = 1500;
const MAX_PAUSES = 3;
const MAX_PAUSE_MS = 900;
const LAST_PAUSE_END_MS = 4000; // a relay that is paused until SIGKILL can't answer
const RELOADS = 6;
const MAX_RELOAD_GAP_MS = 600;
const THROTTLED_MS = 70; // of each period, as under a limit of 0.3 of a core
const THROTTLE_PERIOD_MS = 100;

/** Stops a relay as the platform does, with SIGKILL at the end of the grace. */
const stopPlanned: VmFault = async (vm, context) => {
  const process = vm.process!;
  vm.stopMs = performance.now();
  const timer = setTimeout(() => process.signal('SIGKILL'), GRACE_MS);
  await process.stop();
  clearTimeout(timer);
  vm.endedMs = performance.now();
  await restart(vm, context);
};

const reloadOften: VmFault = async (vm, {random}) => {
  const process = vm.process!;
  for (let count = 0; count < RELOADS; count++) {
    await pause(between(random, 0, MAX_RELOAD_GAP_MS));
    process.signal('SIGHUP');
  }
};

const signalAgain: VmFault = async (vm, {random}) => {
  const process = vm.process!;
  await pause(between(random, 0, GRACE_MS));
  process.signal('SIGTERM');
};

/** Pauses a relay from before its SIGTERM, so that it handles that late. */
const starveFromSignal: VmFault = async (vm, {random}) => {
  const process = vm.process!;
  const endMs = performance.now() + LAST_PAUSE_END_MS;
  const pauses = 1 + random.nextInt(MAX_PAUSES);
  for (let count = 0; count < pauses; count++) {
    const pauseMs = between(random, 0, count > 0 ? MAX_PAUSE_MS : MAX_LATE_MS);
    if (performance.now() + pauseMs > endMs) {
      return;
    }
    process.signal('SIGSTOP');
    await pause(pauseMs);
    process.signal('SIGCONT');
    await pause(between(random, 0, MAX_PAUSE_MS));
  }
};

/** Leaves a relay 0.3 of a core from before its SIGTERM until it has ended. */
const throttleFromSignal: VmFault = async vm => {
  const process = vm.process!;
  while (process.isRunning) {
    process.signal('SIGSTOP');
    await pause(THROTTLED_MS);
    process.signal('SIGCONT');
    await pause(THROTTLE_PERIOD_MS - THROTTLED_MS);
  }
};

/** What happens around planned stops. */
interface StopsOptions {
  /** Faults of the relays that stop; each stop meets one of them. */
  own?: readonly VmFault[];
  /** Names of faults of other relays. */
  beside?: readonly string[];
}

const calm: VmFault = () => Promise.resolve();

/**
 * Stops several relays at a time, and the next ones while these still drain.
 * Callers use slow routes meanwhile and go on at relays that stop.
 */
const rollStops =
  ({own = [calm], beside = []}: StopsOptions): MeshFault =>
  async context => {
    const {mesh, random} = context;
    const running: Array<Promise<void>> = [];
    const start = (vm: SoakVm, run: VmFault) =>
      running.push(harm(vm, {run, isWorkerOnly: false}, context));
    mesh.hasSlowCallers = true;
    await pause(LEAD_MS);
    for (let wave = 0; wave < WAVES; wave++) {
      const idle = shuffle(
        mesh.vms.filter(vm => !vm.isBusy),
        random,
      );
      for (const vm of idle.splice(0, WAVE_VMS)) {
        // Another fault may have begun since the wave was chosen.
        if (vm.isBusy) {
          continue;
        }
        const companion = own[random.nextInt(own.length)]!;
        start(vm, together(companion, stopPlanned));
        await pause(between(random, 0, MAX_SIGNAL_GAP_MS));
      }
      if (beside.length > 0) {
        for (const vm of idle.filter(vm => !vm.isBusy).slice(0, BESIDE_VMS)) {
          start(vm, vmFaults[beside[random.nextInt(beside.length)]!]!.run);
        }
      }
      await pause(between(random, MIN_WAVE_GAP_MS, MAX_WAVE_GAP_MS));
    }
    await Promise.all(running);
    mesh.hasSlowCallers = false;
  };

function shuffle<T>(list: readonly T[], random: RandomSource): T[] {
  return list
    .map(item => ({item, order: random.nextFloat()}))
    .sort((a, b) => a.order - b.order)
    .map(({item}) => item);
}

/** Rolling stops of relays, alone and beside faults without a kill. */
export const plannedStops: Record<
  string,
  (context: FaultContext) => Promise<void>
> = {
  rollStops: rollStops({}),
  rollStopsReloaded: rollStops({own: [calm, reloadOften]}),
  rollStopsRepeated: rollStops({own: [calm, signalAgain]}),
  rollStopsStarved: rollStops({own: [calm, starveFromSignal]}),
  rollStopsThrottled: rollStops({own: [calm, throttleFromSignal]}),
  rollStopsBesideStarved: rollStops({beside: ['starve']}),
  rollStopsBesideThrottled: rollStops({beside: ['throttle']}),
  rollStopsMixed: rollStops({
    own: [calm, reloadOften, starveFromSignal, throttleFromSignal],
    beside: ['starve', 'throttle', 'reload'],
  }),
};
