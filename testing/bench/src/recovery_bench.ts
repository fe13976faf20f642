import type {PlannedVm} from '@carobseam/testing.fixtures';
import {baselineScript} from './baseline_script.js';
import {BenchFleet, platformLimit} from './bench_fleet.js';
import {pause, prefixKeys} from './bench_helpers.js';
import type {BenchOptions, BenchResult} from './bench_options.js';
import {round} from './statistics.js';

interface RecoveryFigures {
  /** From the last process that is up until all hold the newest version. */
  afterStartMs: number;
  /** From the kill until all hold the newest version. */
  afterKillMs: number;
  peakCallsPerSecond: number;
  refusedCalls: number;
}

const SETTLE_MS = 3000;

/** Restart of all daemons, and of half of them without the platform. */
export async function runRecoveryBench(
  options: BenchOptions,
): Promise<BenchResult> {
  const fleet = new BenchFleet(options);
  let all: RecoveryFigures;
  let half: RecoveryFigures;
  try {
    await fleet.start();
    await fleet.changeOneRoute();
    await fleet.waitForVersion();
    await pause(SETTLE_MS);
    options.report('killing every daemon');
    all = await restartAndWait(fleet, fleet.vms);
    await pause(SETTLE_MS);
    options.report('platform down, killing half of the daemons');
    await fleet.fleet.platform.setFaults({down: true});
    half = await restartAndWait(
      fleet,
      fleet.vms.filter((_, index) => index % 4 < 2),
    );
  } finally {
    await fleet.close();
  }
  options.report('baseline: each daemon watches the platform');
  const baseline = await measureBaseline(options);
  return {
    bench: 'recovery',
    daemons: options.daemons,
    limitCallsPerSecond: platformLimit(options.daemons),
    ...prefixKeys('all', all),
    ...prefixKeys('halfWithoutPlatform', half),
    ...prefixKeys('baselineAll', baseline),
  };
}

async function measureBaseline(
  options: BenchOptions,
): Promise<RecoveryFigures> {
  const fleet = new BenchFleet({...options, daemonScript: baselineScript()});
  try {
    await fleet.start();
    return await restartAndWait(fleet, fleet.vms);
  } finally {
    await fleet.close();
  }
}

async function restartAndWait(
  fleet: BenchFleet,
  vms: readonly PlannedVm[],
): Promise<RecoveryFigures> {
  await fleet.fleet.platform.resetStats();
  const killedMs = performance.now();
  await fleet.restart(vms);
  await fleet.waitForVersion();
  const started = vms.map(vm => fleet.timeline.startedMs(vm.vmId)!);
  const applied = vms.map(vm =>
    fleet.timeline.appliedMs(vm.vmId, fleet.version)!,
  );
  const lastAppliedMs = Math.max(...applied);
  const stats = await fleet.fleet.platform.fetchStats();
  return {
    afterStartMs: round(lastAppliedMs - Math.max(...started), 0),
    afterKillMs: round(lastAppliedMs - killedMs, 0),
    peakCallsPerSecond: stats.peakCallsPerSecond,
    refusedCalls: stats.refusedCalls,
  };
}
