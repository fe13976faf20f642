import {SeededRandom} from '@carobseam/core.clock';
import type {RandomSource} from '@carobseam/core.types';
import {wireHeaders} from '@carobseam/platform.adapter';
import http from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {LeavingCallers} from './leaving_callers.js';
import {Ledger} from './ledger.js';
import {meshFaults} from './mesh_faults.js';
import {SoakCaller, type SoakCounts} from './soak_caller.js';
import {harm, vmFaults, type FaultContext} from './soak_faults.js';
import {isCalmSince, SOAK_HOST, SoakMesh, type SoakVm} from './soak_mesh.js';

const CALLERS_PER_VM = 2;
const SLOW_CALLERS_PER_VM = 4; // half of a worker's slots
const MAX_PAUSE_MS = 80; // between two requests of one caller
const MAX_SLOW_PAUSE_MS = 400; // some connections are idle when their relay exits
const FULL_RATE_VMS = 8; // with more, each caller sends fewer requests
const MIN_GAP_MS = 150; // faults come one after the other and at the same time
const MAX_GAP_MS = 900;
const MESH_FAULT_SHARE = 0.2; // of all faults; they concern every VM
const START_MS = 4000; // longer than a relay takes to find its readers
const APPLY_MS = 2500; // bound for a change of the configuration
const RECOVERY_MS = 5000; // after the last fault; the users grant 15 s
const CONFIG_INTERVAL_MS = 3000;
const MIN_RECOVERED_SHARE = 0.98;
const TRAFFIC_SEED_OFFSET = 1_000_000; // more seeds than anybody runs
// Every other seed has a budget that the first faults exhaust.
const RETRY_BUDGETS = [
  {retryBudgetRatio: 0.2, retryBudgetSlack: 64},
  {retryBudgetRatio: 0.01, retryBudgetSlack: 1},
];
const MAX_TOLD = 20; // broken promises that the result lists

/** Options of `runSoak`. */
export interface SoakOptions {
  seed: number;
  durationMs: number;
  vms: number;
  basePort: number;
  /** Names of the faults to choose from; all when undefined. */
  only?: readonly string[];
  progress: (line: string) => void;
}

/** What a soak found; field names as its JSON line has them. */
export interface SoakResult extends SoakCounts {
  seed: number;
  doubled: number;
  /** Requests that reached workers long after their callers had left. */
  late: number;
  faults: number;
  broken: string[];
}

/** Runs relays as processes under random faults and checks the promises. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  return new Soak(options).run();
}

class Soak {
  readonly #options: SoakOptions;
  /** Chooses the faults; traffic has a source of its own. */
  readonly #random: RandomSource;
  readonly #trafficRandom: RandomSource;
  readonly #ledger = new Ledger();
  readonly #mesh: SoakMesh;
  readonly #leavers: LeavingCallers;
  readonly #broken: string[] = [];
  readonly #counts: SoakCounts = {
    requests: 0,
    served: 0,
    lost: 0,
    lost_at_stop: 0,
    false_refusals: 0,
    untried: 0,
    unanswered: 0,
  };
  readonly #running = new Set<Promise<void>>();
  #meshFault?: Promise<void>;
  #faults = 0;

  constructor(options: SoakOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    this.#trafficRandom = new SeededRandom(options.seed + TRAFFIC_SEED_OFFSET);
    this.#mesh = new SoakMesh({
      vms: options.vms,
      basePort: options.basePort,
      retryBudget: RETRY_BUDGETS[options.seed % RETRY_BUDGETS.length]!,
      random: this.#trafficRandom,
      ledger: this.#ledger,
      onArrival: (id, vm) => {
        this.#ledger.recordArrival(id);
        this.#leavers.arrive(id, vm);
      },
    });
    this.#leavers = new LeavingCallers({
      vms: this.#mesh.vms,
      random: this.#trafficRandom,
      ledger: this.#ledger,
      broken: text => this.#tellBroken(text),
    });
  }

  async run(): Promise<SoakResult> {
    const {progress, durationMs, seed} = this.#options;
    progress(`seed ${seed}, logs in ${this.#mesh.logDir}`);
    await this.#mesh.start();
    await pause(START_MS);
    const callers = this.#mesh.vms.flatMap(vm => this.#createCallers(vm));
    const calls = callers.map(caller => caller.run());
    const endMs = performance.now() + durationMs;
    const checks = this.#checkConfig(endMs);
    while (performance.now() < endMs) {
      this.#injectFault();
      await pause(
        MIN_GAP_MS + this.#random.nextFloat() * (MAX_GAP_MS - MIN_GAP_MS),
      );
    }
    await Promise.all([...this.#running, this.#meshFault, checks]);
    this.#restartEnded();
    await this.#checkRecovery();
    callers.forEach(caller => caller.stop());
    await Promise.all(calls);
    const doubled = [...callers, this.#leavers].map(part => part.finish());
    await this.#mesh.close();
    return {
      seed,
      ...this.#counts,
      doubled: doubled.reduce((sum, count) => sum + count, 0),
      late: this.#leavers.lateCount,
      faults: this.#faults,
      broken: this.#broken.slice(0, MAX_TOLD),
    };
  }

  #createCallers(vm: SoakVm): SoakCaller[] {
    const rateFactor = Math.max(1, this.#options.vms / FULL_RATE_VMS);
    const create = (name: string, maxPauseMs: number, isSlow: boolean) =>
      new SoakCaller({
        vm,
        mesh: this.#mesh,
        maxPauseMs: maxPauseMs * rateFactor,
        name: `${vm.index}-${name}`,
        isSlow,
        random: this.#trafficRandom,
        ledger: this.#ledger,
        counts: this.#counts,
        broken: text => this.#tellBroken(text),
        progress: this.#options.progress,
      });
    return [
      ...Array.from({length: CALLERS_PER_VM}, (_, index) =>
        create(`${index}`, MAX_PAUSE_MS, false),
      ),
      ...Array.from({length: SLOW_CALLERS_PER_VM}, (_, index) =>
        create(`slow${index}`, MAX_SLOW_PAUSE_MS, true),
      ),
    ];
  }

  #injectFault(): void {
    const context: FaultContext = {
      mesh: this.#mesh,
      leavers: this.#leavers,
      random: this.#random,
      broken: text => this.#tellBroken(text),
      lastRunMs: id => this.#ledger.lastRunMs(id),
    };
    const isOfMesh =
      this.#random.nextFloat() < MESH_FAULT_SHARE ||
      this.#namesOf(vmFaults).length === 0;
    const name = this.#pick(this.#namesOf(isOfMesh ? meshFaults : vmFaults));
    if (isOfMesh) {
      if (name && !this.#meshFault) {
        this.#noteFault(`${name}`);
        this.#meshFault = meshFaults[name]!(context).finally(
          () => (this.#meshFault = undefined),
        );
      }
      return;
    }
    const idle = this.#mesh.vms.filter(vm => !vm.isBusy);
    if (idle.length < 2 || !name) {
      return;
    }
    const vm = this.#pick(idle)!;
    this.#noteFault(`${name} on vm-${vm.index}`);
    const fault = harm(vm, vmFaults[name]!, context);
    this.#running.add(fault);
    void fault.finally(() => this.#running.delete(fault));
  }

  /** Changes the configuration and asks calm relays for the new route. */
  async #checkConfig(endMs: number): Promise<void> {
    while (performance.now() < endMs) {
      await pause(CONFIG_INTERVAL_MS);
      this.#restartEnded();
      this.#mesh.changeConfig();
      const {version} = this.#mesh;
      const changedMs = performance.now();
      await pause(APPLY_MS);
      const isCurrent = version === this.#mesh.version;
      const isStoreCalm = this.#mesh.storeFaultMs < changedMs - APPLY_MS;
      if (isCurrent && isStoreCalm) {
        await Promise.all(
          this.#mesh.vms.map(vm => this.#checkVersion(vm, version, changedMs)),
        );
      }
    }
  }

  /** Reports relays that ended by themselves; the platform restarts them. */
  #restartEnded(): void {
    for (const vm of this.#mesh.vms) {
      if (!vm.isBusy && !vm.process!.isRunning) {
        this.#tellBroken(`the relay of vm-${vm.index} ended by itself`);
        vm.cutMs = performance.now();
        this.#mesh.startRelay(vm);
      }
    }
  }

  async #checkVersion(
    vm: SoakVm,
    version: number,
    changedMs: number,
  ): Promise<void> {
    const status = await probe(vm, `/v${version}/x`);
    const isCalm = isCalmSince(vm, changedMs - APPLY_MS);
    if (status === 404 && isCalm && version === this.#mesh.version) {
      this.#tellBroken(`vm-${vm.index} lacks version ${version} after 2.5 s`);
    }
  }

  async #checkRecovery(): Promise<void> {
    await pause(RECOVERY_MS);
    const before = {...this.#counts};
    await pause(RECOVERY_MS);
    const asked = this.#counts.requests - before.requests;
    const served = this.#counts.served - before.served;
    if (served < asked * MIN_RECOVERED_SHARE) {
      this.#tellBroken(`served ${served} of ${asked} after the last fault`);
    }
  }

  #namesOf(faults: object): string[] {
    const {only} = this.#options;
    return Object.keys(faults).filter(name => !only || only.includes(name));
  }

  #pick<T>(list: readonly T[]): T | undefined {
    return list.length > 0
      ? list[this.#random.nextInt(list.length)]
      : undefined;
  }

  #noteFault(text: string): void {
    this.#faults++;
    this.#options.progress(`${timeText()} ${text}`);
  }

  #tellBroken(text: string): void {
    this.#broken.push(`seed ${this.#options.seed}: ${text}`);
    this.#options.progress(`${timeText()} BROKEN ${text}`);
  }
}

function timeText(): string {
  return new Date().toISOString();
}

/** @return the status, or undefined when there was no answer. */
async function probe(vm: SoakVm, path: string): Promise<number | undefined> {
  const {host, port} = vm.outbound;
  const headers = {host: SOAK_HOST, [wireHeaders.requestId]: `probe${path}`};
  return new Promise(resolve => {
    const request = http.get(
      {host, port, path, agent: false, headers},
      response => {
        response.resume();
        resolve(response.statusCode);
      },
    );
    request.setTimeout(APPLY_MS, () => request.destroy());
    // A relay that gives no answer is not one that lacks the version.
    request.on('error', () => resolve(undefined));
  });
}
