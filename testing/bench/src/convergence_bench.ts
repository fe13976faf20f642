import type {BenchOptions, BenchResult} from './bench_options.js';
import {BenchFleet} from './bench_fleet.js';
import {baselineScript} from './baseline_script.js';
import {pause, prefixKeys} from './bench_helpers.js';
import {DurationHistogram, round} from './statistics.js';

interface ConvergenceFigures {
  lastP50Ms: number;
  lastMaxMs: number;
  daemonP50Ms: number;
  daemonP99Ms: number;
  platformCallsPerChange: number;
}

const CHANGES = 20;
const PAUSE_MS = 1500;

/** Time from acceptance to the last daemon, beside the baseline. */
export async function runConvergenceBench(
  options: BenchOptions,
): Promise<BenchResult> {
  options.report('tree and gossip');
  const system = await measure(new BenchFleet(options), options);
  options.report('baseline: each daemon watches the platform');
  const baseline = await measure(
    new BenchFleet({...options, daemonScript: baselineScript()}),
    options,
  );
  return {
    bench: 'convergence',
    daemons: options.daemons,
    changes: CHANGES,
    ...prefixKeys('system', system),
    ...prefixKeys('baseline', baseline),
    timesFaster: round(baseline.lastP50Ms / system.lastP50Ms, 1),
  };
}

async function measure(
  fleet: BenchFleet,
  options: BenchOptions,
): Promise<ConvergenceFigures> {
  const last = new DurationHistogram();
  const each = new DurationHistogram();
  try {
    await fleet.start();
    await pause(2000);
    await fleet.fleet.platform.resetStats();
    for (let change = 1; change <= CHANGES; change++) {
      await fleet.changeOneRoute();
      await fleet.waitForVersion();
      const durations = fleet
        .appliedMs()
        .map(timeMs => timeMs! - fleet.acceptedMs);
      durations.forEach(duration => each.record(duration));
      last.record(Math.max(...durations));
      if (change % 5 === 0) {
        options.report(`${change} of ${CHANGES} changes`);
      }
      await pause(PAUSE_MS);
    }
    const {calls} = await fleet.fleet.platform.fetchStats();
    const lastSummary = last.summary();
    const eachSummary = each.summary();
    return {
      lastP50Ms: round(lastSummary.p50Ms),
      lastMaxMs: round(lastSummary.maxMs),
      daemonP50Ms: round(eachSummary.p50Ms),
      daemonP99Ms: round(eachSummary.p99Ms),
      platformCallsPerChange: round(calls / CHANGES, 1),
    };
  } finally {
    await fleet.close();
  }
}
