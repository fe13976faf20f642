import type {LocalFleet} from '@carobseam/testing.fixtures';
import {Agent} from 'node:http';
import {fileURLToPath} from 'node:url';
import type {BenchOptions, BenchResult} from './bench_options.js';
import {pause, prefixKeys} from './bench_helpers.js';
import {operationPath, startCallFleet} from './call_fleet.js';
import {readProcessUsage} from './process_usage.js';
import {round} from './statistics.js';
import {timedRequest, type RequestTarget} from './timed_request.js';

interface ThroughputFigures {
  callsPerSecond: number;
  /** Processor time of the daemon for one call, ms. */
  cpuMsPerCall: number;
  /** Calls per second that one core carries. */
  callsPerSecondOfCore: number;
  notAnswered: number;
}

const CONCURRENCY = 16;
const DURATION_MS = 8000;
const SETTLE_MS = 12_000;
const WARM_UP_MS = 2000;

/** Calls per second and processor time per call of one daemon. */
export async function runThroughputBench(
  options: BenchOptions,
): Promise<BenchResult> {
  const shared = {
    basePort: options.basePort,
    services: ['service-a'],
    upstream: {slots: 64, connections: 130, workMs: 0},
  };
  const system = await measure(await startCallFleet(shared));
  options.report(`daemon: ${JSON.stringify(system)}`);
  const baseline = await measure(
    await startCallFleet({
      ...shared,
      daemonScript: fileURLToPath(
        new URL('./baseline/plain_proxy_bin.js', import.meta.url),
      ),
      waitForDaemons: false,
    }),
  );
  options.report(`plain proxy: ${JSON.stringify(baseline)}`);
  return {
    bench: 'throughput',
    concurrency: CONCURRENCY,
    ...prefixKeys('system', system),
    ...prefixKeys('baseline', baseline),
  };
}

async function measure(fleet: LocalFleet): Promise<ThroughputFigures> {
  try {
    await pause(SETTLE_MS);
    const [vm] = fleet.vms;
    const path = operationPath('service-a', 'interactive');
    const target = {address: vm!.address, port: vm!.callersPort, path};
    await runClosedLoad(target, WARM_UP_MS);
    const {pid} = fleet.getDaemonProcess(vm!);
    const before = readProcessUsage(pid);
    const startMs = performance.now();
    const {answered, notAnswered} = await runClosedLoad(target, DURATION_MS);
    const durationS = (performance.now() - startMs) / 1000;
    const cpuMs = readProcessUsage(pid).cpuMs - before.cpuMs;
    const cpuMsPerCall = cpuMs / Math.max(1, answered + notAnswered);
    return {
      callsPerSecond: round(answered / durationS, 0),
      cpuMsPerCall: round(cpuMsPerCall, 4),
      callsPerSecondOfCore: round(1000 / cpuMsPerCall, 0),
      notAnswered,
    };
  } finally {
    await fleet.close();
  }
}

async function runClosedLoad(
  target: RequestTarget,
  durationMs: number,
): Promise<{answered: number; notAnswered: number}> {
  const agent = new Agent({keepAlive: true, maxSockets: CONCURRENCY});
  const endMs = performance.now() + durationMs;
  let answered = 0;
  let notAnswered = 0;
  const work = async () => {
    while (performance.now() < endMs) {
      const {statusCode} = await timedRequest({agent, target});
      if (statusCode === 200) {
        answered++;
      } else {
        notAnswered++;
      }
    }
  };
  await Promise.all(Array.from({length: CONCURRENCY}, work));
  agent.destroy();
  return {answered, notAnswered};
}
