import {
  listFilesToPublish,
  type RenderedVersion,
} from '@carobseam/config.declarations';
import type {ServiceName} from '@carobseam/core.types';
import {
  makeDeclarations,
  makePolicy,
  makeRoute,
  makeService,
  makeVersion,
} from '@carobseam/testing.fixtures';
import {InMemoryFleet, KEY_PREFIX} from './in_memory_fleet.js';
import type {Scenario, ScenarioStep} from './scenario_schema.js';

type Publish = NonNullable<ScenarioStep['publish']>;

const BASE_TIMEOUT_MS = 2000;
/** Longer than a watch of the platform. */
const CLOSE_MS = 40_000;

/** Runs a scenario and checks the invariants after each step. */
export class ScenarioRun {
  readonly #fleet: InMemoryFleet;
  readonly #highest = new Map<string, number>();
  #cutFromPlatform: readonly string[] = [];
  #cutOff: readonly string[] = [];
  #heldBack: Array<{key: string; bytes: Uint8Array}> = [];
  #nowMs = 0;

  constructor(scenario: Omit<Scenario, 'steps' | 'guardsAgainst'>) {
    this.#fleet = new InMemoryFleet({
      vmsPerDataCentre: scenario.daemonsPerDataCentre,
      dataCentres: scenario.dataCentres,
      seed: scenario.seed,
      exchangesVersions: true,
      canReachPlatform: vm =>
        !this.#cutFromPlatform.includes(vm.dataCentre) &&
        !this.#cutOff.includes(vm.dataCentre),
    });
    this.#fleet.network.setPartition((from, to) => this.#isCut(from, to));
  }

  async start(): Promise<void> {
    await this.#fleet.start();
  }

  /** Ends what the fleet started; pending timers of the manual clock go on. */
  async close(): Promise<void> {
    const closing = this.#fleet.daemons.map(d => d.controller.close());
    await this.#fleet.clock.advanceAsync(CLOSE_MS);
    await Promise.all(closing);
  }

  /** @throws Error that names the daemon and the step that failed. */
  async runStep(step: ScenarioStep): Promise<void> {
    await this.#fleet.clock.advanceAsync(step.atMs - this.#nowMs);
    this.#nowMs = step.atMs;
    this.#checkInvariants();
    this.#applyFaults(step);
    if (step.publish) {
      this.#publish(step.publish);
    }
    if (step.publishPacks) {
      const files = this.#heldBack.splice(0);
      files.forEach(({key, bytes}) => this.#fleet.platform.put(key, bytes));
    }
    if (step.expect) {
      this.#expectVersion(step.expect);
    }
    if (step.expectRefused) {
      await this.#expectRefused(step.expectRefused);
    }
  }

  #applyFaults(step: ScenarioStep): void {
    this.#cutFromPlatform = step.cutFromPlatform ?? this.#cutFromPlatform;
    this.#cutOff = step.cutOff ?? this.#cutOff;
    if (step.platform) {
      this.#fleet.platform.setFaults(step.platform);
    }
    if (step.lossRate !== undefined) {
      this.#fleet.network.setFaults({lossRate: step.lossRate});
    }
  }

  #publish(publish: Publish): void {
    const files = listFilesToPublish(renderFor(publish), KEY_PREFIX);
    const isHeldBack = publish.fault === 'late_pack';
    const packs = files.slice(0, -1);
    this.#heldBack.push(...(isHeldBack ? packs : []));
    const visible = isHeldBack ? files.slice(-1) : files;
    visible.forEach(({key, bytes}) => this.#fleet.platform.put(key, bytes));
  }

  #isCut(from: string, to: string): boolean {
    const dataCentreOf = (address: string) =>
      this.#fleet.vms.find(vm => vm.address === address)!.dataCentre;
    const a = dataCentreOf(from);
    const b = dataCentreOf(to);
    return a !== b && (this.#cutOff.includes(a) || this.#cutOff.includes(b));
  }

  /** No daemon goes back, and each holds all of its version. */
  #checkInvariants(): void {
    for (const {vm, blackboard} of this.#fleet.daemons) {
      const snapshot = blackboard.read('snapshot');
      const version = snapshot?.version ?? 0;
      const highest = this.#highest.get(vm.vmId) ?? 0;
      if (version < highest) {
        throw new Error(`${vm.vmId} went from ${highest} to ${version}`);
      }
      this.#highest.set(vm.vmId, version);
      const dangling = snapshot?.routes.find(
        route =>
          !snapshot.services.has(route.service) ||
          !snapshot.policies.has(route.policy),
      );
      if (dangling) {
        throw new Error(`${vm.vmId}: route ${dangling.name} dangles`);
      }
    }
  }

  #expectVersion(expected: NonNullable<ScenarioStep['expect']>): void {
    const {version, dataCentres} = expected;
    for (const {vm, blackboard} of this.#fleet.daemons) {
      const held = blackboard.read('snapshot')?.version ?? 0;
      const isMeant = dataCentres?.includes(vm.dataCentre) ?? true;
      if (isMeant && held !== version) {
        throw new Error(
          `at ${this.#nowMs} ms ${vm.vmId} holds ${held} instead of ${version}`,
        );
      }
    }
  }

  async #expectRefused(reason: string): Promise<void> {
    const name = 'carobseam_config_versions_refused_total';
    if ((await this.#fleet.sumMetric(name, {reason})) === 0) {
      throw new Error(`at ${this.#nowMs} ms nothing was refused as ${reason}`);
    }
  }
}

/** Runs all steps of a scenario. */
export async function runScenario(scenario: Scenario): Promise<void> {
  const run = new ScenarioRun(scenario);
  try {
    await run.start();
    for (const step of scenario.steps) {
      await run.runStep(step);
    }
  } finally {
    await run.close();
  }
}

function renderFor({version, variant, fault}: Publish): RenderedVersion {
  const service = fault === 'dangling_route' ? 'nowhere' : 'hintdesk';
  const route = makeRoute({service: service as ServiceName});
  const timeoutMs = BASE_TIMEOUT_MS + version * 10 + variant;
  return makeVersion(
    version,
    makeDeclarations([
      makeService(),
      makePolicy({timeoutMs}),
      {kind: 'routes', name: 'hints', routes: [route]},
    ]),
  );
}
