import {fileURLToPath} from 'node:url';
import {BenchFleet} from './bench_fleet.js';
import {pause} from './bench_helpers.js';
import type {BenchOptions, BenchResult} from './bench_options.js';
import {readProcessUsage} from './process_usage.js';
import {median, round} from './statistics.js';

interface CostFigures {
  daemons: number;
  /** Share of one core, percent; median over the daemons. */
  cpuPercent: number;
  cpuPercentMax: number;
  residentMb: number;
  /** Beyond a process that only forwards calls. */
  addedMb: number;
  /** Control bytes that one daemon sent per second. */
  bytesPerSecond: number;
}

const FLEET_SIZES = [12, 25, 50, 100];
const CHANGES = 15;
const CHANGE_INTERVAL_MS = 2000;
const SETTLE_MS = 8000;
const BYTES_PER_MB = 1_000_000;
const PLAIN_PROCESSES = 3;

/** Processor time and memory that control costs each daemon. */
export async function runDaemonCostBench(
  options: BenchOptions,
): Promise<BenchResult> {
  const plainMb = await measurePlainMb(options);
  options.report(`a process that only forwards calls has ${plainMb} MB`);
  const sizes = FLEET_SIZES.filter(size => size <= options.daemons);
  const fleets: CostFigures[] = [];
  for (const daemons of sizes.length > 0 ? sizes : [options.daemons]) {
    fleets.push(await measure({...options, daemons}, plainMb));
    options.report(JSON.stringify(fleets.at(-1)));
  }
  return {
    bench: 'daemon-cost',
    changeIntervalMs: CHANGE_INTERVAL_MS,
    plainMb,
    fleets,
  };
}

async function measure(
  options: BenchOptions,
  plainMb: number,
): Promise<CostFigures> {
  const fleet = new BenchFleet({...options, dataCentres: 1});
  try {
    await fleet.start();
    await pause(SETTLE_MS);
    const pids = fleet.vms.map(vm => fleet.fleet.getDaemonProcess(vm).pid);
    const before = pids.map(readProcessUsage);
    const sentBefore = await fleet.controlBytesSent();
    const startMs = performance.now();
    for (let change = 0; change < CHANGES; change++) {
      await fleet.changeOneRoute();
      await pause(CHANGE_INTERVAL_MS);
    }
    await fleet.waitForVersion();
    const durationMs = performance.now() - startMs;
    const after = pids.map(readProcessUsage);
    const sent = (await fleet.controlBytesSent()) - sentBefore;
    const cpu = after.map(
      (usage, index) =>
        ((usage.cpuMs - before[index]!.cpuMs) / durationMs) * 100,
    );
    const residentMb =
      median(after.map(usage => usage.residentBytes)) / BYTES_PER_MB;
    return {
      daemons: options.daemons,
      cpuPercent: round(median(cpu)),
      cpuPercentMax: round(Math.max(...cpu)),
      residentMb: round(residentMb, 1),
      addedMb: round(residentMb - plainMb, 1),
      bytesPerSecond: round(sent / options.daemons / (durationMs / 1000), 0),
    };
  } finally {
    await fleet.close();
  }
}

async function measurePlainMb(options: BenchOptions): Promise<number> {
  const script = fileURLToPath(
    new URL('./baseline/plain_proxy_bin.js', import.meta.url),
  );
  const fleet = new BenchFleet({
    ...options,
    daemons: PLAIN_PROCESSES,
    daemonScript: script,
  });
  try {
    await fleet.fleet.startPlatform();
    fleet.vms.forEach(vm => fleet.fleet.startDaemon(vm));
    await pause(SETTLE_MS);
    const resident = fleet.vms.map(
      vm =>
        readProcessUsage(fleet.fleet.getDaemonProcess(vm).pid).residentBytes,
    );
    return round(median(resident) / BYTES_PER_MB, 1);
  } finally {
    await fleet.close();
  }
}
