import {
  auditIdempotencyKeys,
  Caller,
  ExecutionLedger,
  LocalFleet,
  loadDeployment,
  planFleet,
  type Deployment,
  type PlannedVm,
} from '@carobseam/testing.fixtures';
import {
  loadDeclarations,
  listFilesToPublish,
  renderVersion,
} from '@carobseam/config.declarations';
import {SeededRandom} from '@carobseam/core.clock';
import type {ConfigVersion} from '@carobseam/core.types';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import type {BenchOptions, BenchResult} from './bench_options.js';
import {pause} from './bench_helpers.js';
import {round} from './statistics.js';

interface FaultFigures {
  sent: number;
  answered: number;
  lost: number;
  doubled: number;
  falseRefusals: number;
  outcomeUnknown: number;
  interactiveInTimeShare: number;
}

interface FaultContext {
  fleet: LocalFleet;
  vm: PlannedVm;
}

const EXAMPLES_DIR = fileURLToPath(
  new URL('../../../../examples', import.meta.url),
);
const PLAIN_PROXY = fileURLToPath(
  new URL('./baseline/plain_proxy_bin.js', import.meta.url),
);
const CALLS_PER_SECOND = 150;
const SETTLE_MS = 12_000;
const BETWEEN_FAULTS_MS = 2500;
const PAUSE_MS = 4000;
const DOWN_MS = 700;
const FAULT_ROUNDS = 2;
const START_TIMEOUT_MS = 20_000;

/** Faults of one VM, in the order in which a round causes them. */
const faults: Record<string, (context: FaultContext) => Promise<void>> = {
  'kill daemon': async ({fleet, vm}) => {
    await fleet.getDaemonProcess(vm).kill();
    await pause(DOWN_MS);
    fleet.startDaemon(vm);
  },
  'kill worker': async ({fleet, vm}) => {
    await fleet.getUpstreamProcess(vm).kill();
    await pause(DOWN_MS);
    fleet.startUpstream(vm);
  },
  'pause daemon': async ({fleet, vm}) => {
    fleet.getDaemonProcess(vm).signal('SIGSTOP');
    await pause(PAUSE_MS);
    fleet.getDaemonProcess(vm).signal('SIGCONT');
  },
  'pause worker': async ({fleet, vm}) => {
    fleet.getUpstreamProcess(vm).signal('SIGSTOP');
    await pause(PAUSE_MS);
    fleet.getUpstreamProcess(vm).signal('SIGCONT');
  },
  'drain daemon': async ({fleet, vm}) => {
    await fleet.getDaemonProcess(vm).stop();
    fleet.startDaemon(vm);
  },
};

/** Faults under load in both deployments, beside a plain proxy. */
export async function runFaultsBench(
  options: BenchOptions,
): Promise<BenchResult> {
  const result: BenchResult = {bench: 'faults', seed: options.seed};
  for (const name of ['kalchgruber', 'teranga']) {
    const dir = path.join(EXAMPLES_DIR, name);
    const deployment = loadDeployment(path.join(dir, 'deployment.yaml'));
    for (const plain of [false, true]) {
      const label = plain ? `${name}Baseline` : name;
      options.report(label);
      result[label] = await measure({options, dir, deployment, plain});
      options.report(JSON.stringify(result[label]));
    }
  }
  return result;
}

interface MeasureOptions {
  options: BenchOptions;
  dir: string;
  deployment: Deployment;
  plain: boolean;
}

async function measure(run: MeasureOptions): Promise<FaultFigures> {
  const ledger = new ExecutionLedger();
  await ledger.start();
  const fleet = createFleet(run, ledger.port);
  try {
    await startFleet(fleet, run);
    const caller = new Caller({
      vms: fleet.vms,
      calls: run.deployment.calls,
      callsPerSecond: CALLS_PER_SECOND,
      seed: run.options.seed,
      ownServiceOnly: run.plain,
    });
    caller.start();
    await causeFaults(fleet, run.options);
    const counts = await caller.close();
    const audit = auditIdempotencyKeys(caller.keys, ledger.executionCounts());
    return {
      sent: counts.sent,
      answered: counts.answered,
      lost: counts.unanswered + counts.mismatched + audit.notExecuted,
      doubled: audit.doubled,
      falseRefusals: audit.falseRefusals,
      outcomeUnknown: counts.outcomeUnknown,
      interactiveInTimeShare: round(
        counts.interactiveInTime / counts.interactive,
        4,
      ),
    };
  } finally {
    await fleet.close();
    await ledger.close();
  }
}

async function causeFaults(
  fleet: LocalFleet,
  options: BenchOptions,
): Promise<void> {
  const random = new SeededRandom(options.seed);
  for (let round = 0; round < FAULT_ROUNDS; round++) {
    for (const [name, cause] of Object.entries(faults)) {
      const vm = fleet.vms[random.nextInt(fleet.vms.length)]!;
      options.report(`${name} ${vm.vmId}`);
      await cause({fleet, vm});
      await pause(BETWEEN_FAULTS_MS);
    }
  }
}

async function startFleet(
  fleet: LocalFleet,
  run: MeasureOptions,
): Promise<void> {
  const {declarations} = loadDeclarations(path.join(run.dir, 'declarations'));
  await fleet.startPlatform();
  const rendered = renderVersion({
    declarations: declarations!,
    version: 1 as ConfigVersion,
  });
  await fleet.platform.publish(listFilesToPublish(rendered, 'carobseam'));
  fleet.vms.forEach(vm => fleet.startUpstream(vm));
  fleet.vms.forEach(vm => fleet.startDaemon(vm));
  if (!run.plain && !(await fleet.waitForVersion(1, START_TIMEOUT_MS))) {
    throw new Error(`not all daemons serve after ${START_TIMEOUT_MS} ms`);
  }
  await pause(SETTLE_MS);
}

function createFleet(run: MeasureOptions, ledgerPort: number): LocalFleet {
  const {deployment, options, plain} = run;
  const vms = planFleet({deployment, basePort: options.basePort + 10});
  const workersOf = (vm: PlannedVm) =>
    vms
      .filter(other => other.service === vm.service)
      .map(other => `${other.address}:${other.upstreamPort}`)
      .join(',');
  return new LocalFleet({
    vms,
    region: deployment.region,
    disseminationProfile: deployment.disseminationProfile,
    platformPort: options.basePort,
    platformCallsPerSecond: 2000,
    upstream: {slots: 20, connections: 130, workMs: 5, ledgerPort},
    daemonScript: plain ? PLAIN_PROXY : undefined,
    daemonArgs: plain ? vm => ['--workers', workersOf(vm)] : undefined,
  });
}
