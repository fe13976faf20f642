import type {ConfigVersion, PresetName} from '@carobseam/core.types';
import {
  loadDeclarations,
  listFilesToPublish,
  renderVersion,
  type Declarations,
} from '@carobseam/config.declarations';
import {CarobseamError} from '@carobseam/core.errors';
import {
  auditIdempotencyKeys,
  Caller,
  ExecutionLedger,
  loadDeployment,
  LocalFleet,
  planFleet,
  waitUntil,
  type Deployment,
} from '@carobseam/testing.fixtures';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

/** Options of `runDemo`. */
export interface DemoOptions {
  deployment: string;
  perDataCentre: boolean;
  basePort: number;
  /** Receives each line of progress. */
  report: (line: string) => void;
}

/** Last line of the demo. */
export interface DemoResult {
  converged: boolean;
  convergence_ms_max: number;
  control_bytes: number;
  calls_sent: number;
  calls_answered: number;
  outcome_unknown: number;
  lost: number;
  doubled: number;
  false_refusals: number;
  version: number;
}

const EXAMPLES_DIR = fileURLToPath(
  new URL('../../../../examples', import.meta.url),
);
const KEY_PREFIX = 'carobseam';
const CALLS_PER_SECOND = 100;
const SEED = 1;
const CONVERGENCE_TIMEOUT_MS = 10_000;
const START_TIMEOUT_MS = 20_000;
const PRESETS = ['peak', 'maintenance', 'ordinary'] as const;

/** Runs a whole deployment on loopback and counts what callers see. */
export async function runDemo(options: DemoOptions): Promise<DemoResult> {
  const dir = path.join(EXAMPLES_DIR, options.deployment);
  const deployment = loadDeployment(path.join(dir, 'deployment.yaml'));
  const declarations = requireDeclarations(path.join(dir, 'declarations'));
  const ledger = new ExecutionLedger();
  await ledger.start();
  const fleet = createFleet(options, deployment, declarations, ledger.port);
  const {report} = options;
  try {
    const parts = {fleet, deployment, declarations, ledger, report};
    return await new Demo(parts).run();
  } finally {
    await fleet.close();
    await ledger.close();
  }
}

interface DemoParts {
  fleet: LocalFleet;
  deployment: Deployment;
  declarations: Declarations;
  ledger: ExecutionLedger;
  report: (line: string) => void;
}

/** The steps of one run. */
class Demo {
  readonly #fleet: LocalFleet;
  readonly #deployment: Deployment;
  readonly #ledger: ExecutionLedger;
  readonly #report: (line: string) => void;
  #declarations: Declarations;
  #version = 0;
  #converged = true;
  #convergenceMsMax = 0;

  constructor(parts: DemoParts) {
    this.#fleet = parts.fleet;
    this.#deployment = parts.deployment;
    this.#declarations = parts.declarations;
    this.#ledger = parts.ledger;
    this.#report = parts.report;
  }

  async run(): Promise<DemoResult> {
    await this.#startFleet();
    const caller = new Caller({
      vms: this.#fleet.vms,
      calls: this.#deployment.calls,
      callsPerSecond: CALLS_PER_SECOND,
      seed: SEED,
    });
    caller.start();
    await pause(2000);
    await this.#changeRoute();
    for (const preset of PRESETS) {
      await pause(1000);
      await this.#switchPreset(preset);
    }
    await this.#restartDaemon();
    await pause(2000);
    const counts = await caller.close();
    const audit = auditIdempotencyKeys(
      caller.keys,
      this.#ledger.executionCounts(),
    );
    return {
      converged: this.#converged,
      convergence_ms_max: Math.round(this.#convergenceMsMax),
      control_bytes: await this.#controlBytes(),
      calls_sent: counts.sent,
      calls_answered: counts.answered,
      outcome_unknown: counts.outcomeUnknown,
      lost: counts.unanswered + counts.mismatched + audit.notExecuted,
      doubled: audit.doubled,
      false_refusals: audit.falseRefusals,
      version: this.#version,
    };
  }

  async #startFleet(): Promise<void> {
    const {vms} = this.#fleet;
    this.#report(`starting ${vms.length} upstreams and daemons`);
    await this.#fleet.startPlatform();
    await this.#publish();
    vms.forEach(vm => this.#fleet.startUpstream(vm));
    vms.forEach(vm => this.#fleet.startDaemon(vm));
    const serving = await this.#fleet.waitForVersion(1, START_TIMEOUT_MS);
    if (!serving) {
      throw new Error(`not all daemons serve after ${START_TIMEOUT_MS} ms`);
    }
    this.#report('every daemon serves version 1');
  }

  async #changeRoute(): Promise<void> {
    this.#declarations = {
      ...this.#declarations,
      resources: this.#declarations.resources.map(resource =>
        resource.kind === 'policy'
          ? {...resource, timeoutMs: resource.timeoutMs + 1}
          : resource,
      ),
    };
    await this.#accept('changed policies');
  }

  async #switchPreset(name: string): Promise<void> {
    const mesh = {activePreset: name as PresetName};
    this.#declarations = {...this.#declarations, mesh};
    await this.#accept(`preset ${name}`);
  }

  async #accept(what: string): Promise<void> {
    await this.#publish();
    const startMs = performance.now();
    const converged = await this.#fleet.waitForVersion(
      this.#version,
      CONVERGENCE_TIMEOUT_MS,
    );
    const durationMs = performance.now() - startMs;
    this.#converged &&= converged;
    this.#convergenceMsMax = Math.max(this.#convergenceMsMax, durationMs);
    const result = converged ? `after ${Math.round(durationMs)} ms` : 'NOT';
    this.#report(`version ${this.#version} (${what}) everywhere: ${result}`);
  }

  async #publish(): Promise<void> {
    this.#version++;
    const rendered = renderVersion({
      declarations: this.#declarations,
      version: this.#version as ConfigVersion,
    });
    await this.#fleet.platform.publish(
      listFilesToPublish(rendered, KEY_PREFIX),
    );
  }

  async #restartDaemon(): Promise<void> {
    const vm = this.#fleet.vms[0]!;
    this.#report(`killing daemon ${vm.vmId}`);
    await this.#fleet.getDaemonProcess(vm).kill();
    await pause(500);
    this.#fleet.startDaemon(vm);
    const holds = async () => {
      const status = await this.#fleet.fetchStatus(vm);
      return status?.version === this.#version;
    };
    const recovered = await waitUntil(holds, CONVERGENCE_TIMEOUT_MS);
    this.#converged &&= recovered;
    this.#report(
      `daemon ${vm.vmId} ${recovered ? 'recovered' : 'did NOT recover'}`,
    );
  }

  async #controlBytes(): Promise<number> {
    const sent = await Promise.all(
      this.#fleet.vms.map(vm => this.#fleet.fetchControlBytesSent(vm)),
    );
    return sent.reduce((sum, bytes) => sum + bytes, 0);
  }
}

function requireDeclarations(dir: string): Declarations {
  const {declarations, problems} = loadDeclarations(dir);
  if (declarations) {
    return declarations;
  }
  throw new CarobseamError({
    code: 'DECLARATION_INVALID',
    message: problems.map(p => `${p.file}:${p.line}: ${p.message}`).join('; '),
    hint: 'correct the declarations',
  });
}

function createFleet(
  options: DemoOptions,
  deployment: Deployment,
  declarations: Declarations,
  ledgerPort: number,
): LocalFleet {
  const {basePort, perDataCentre} = options;
  const service = declarations.resources.find(r => r.kind === 'service')!;
  return new LocalFleet({
    vms: planFleet({deployment, perDataCentre, basePort: basePort + 10}),
    region: deployment.region,
    disseminationProfile: deployment.disseminationProfile,
    platformPort: basePort,
    platformCallsPerSecond: 2000,
    upstream: {
      slots: service.slots,
      connections: service.connections,
      workMs: 2,
      ledgerPort,
    },
  });
}

function pause(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}
