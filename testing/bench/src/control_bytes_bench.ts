import {baselineScript} from './baseline_script.js';
import {BenchFleet} from './bench_fleet.js';
import {pause, prefixKeys} from './bench_helpers.js';
import type {BenchOptions, BenchResult} from './bench_options.js';
import {round} from './statistics.js';

interface ByteFigures {
  /** Bytes that daemons sent for one change, per daemon. */
  bytesPerChange: number;
  /** Bytes that daemons sent without changes, per daemon and second. */
  idleBytesPerSecond: number;
  /** Bytes that the platform sent for one change, per daemon. */
  platformBytesPerChange: number;
}

const CHANGES = 20;
const PAUSE_MS = 700;
const IDLE_MS = 10_000;
const SETTLE_MS = 5000;

/** Control bytes of one-route changes and without changes. */
export async function runControlBytesBench(
  options: BenchOptions,
): Promise<BenchResult> {
  const results: BenchResult = {
    bench: 'control-bytes',
    daemons: options.daemons,
    changes: CHANGES,
  };
  for (const profile of ['fast', 'small'] as const) {
    options.report(`profile ${profile}`);
    const fleet = new BenchFleet({...options, profile});
    Object.assign(results, prefixKeys(profile, await measure(fleet, options)));
  }
  options.report('baseline: each daemon watches the platform');
  const baseline = new BenchFleet({
    ...options,
    daemonScript: baselineScript(),
  });
  const {platformBytesPerChange} = await measure(baseline, options);
  return {...results, baselinePlatformBytesPerChange: platformBytesPerChange};
}

async function measure(
  fleet: BenchFleet,
  options: BenchOptions,
): Promise<ByteFigures> {
  try {
    await fleet.start();
    await pause(SETTLE_MS);
    const idle = await measureIdle(fleet);
    options.report(`idle ${round(idle.perSecond, 0)} bytes/s per daemon`);
    const startMs = performance.now();
    const sentBefore = await fleet.controlBytesSent();
    const platformBefore = await fleet.fleet.platform.fetchStats();
    for (let change = 1; change <= CHANGES; change++) {
      await fleet.changeOneRoute();
      await fleet.waitForVersion();
      await pause(PAUSE_MS);
    }
    const durationS = (performance.now() - startMs) / 1000;
    const daemons = fleet.vms.length;
    const sent = (await fleet.controlBytesSent()) - sentBefore;
    const idleSent = idle.perSecond * durationS * daemons;
    const platformAfter = await fleet.fleet.platform.fetchStats();
    const platformSent = platformAfter.bytesSent - platformBefore.bytesSent;
    return {
      bytesPerChange: round((sent - idleSent) / CHANGES / daemons, 0),
      idleBytesPerSecond: round(idle.perSecond, 0),
      platformBytesPerChange: round(platformSent / CHANGES / daemons, 0),
    };
  } finally {
    await fleet.close();
  }
}

async function measureIdle(fleet: BenchFleet): Promise<{perSecond: number}> {
  const before = await fleet.controlBytesSent();
  const startMs = performance.now();
  await pause(IDLE_MS);
  const after = await fleet.controlBytesSent();
  const durationS = (performance.now() - startMs) / 1000;
  return {perSecond: (after - before) / durationS / fleet.vms.length};
}
