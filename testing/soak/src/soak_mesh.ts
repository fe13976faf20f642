import type {
  MeshConfig,
  MeshRoute,
  MeshWorker,
  RouteName,
  WorkerId,
} from '@carobseam/config.mesh';
import type {
  ConfigVersion,
  DataCentreName,
  RandomSource,
  ServiceName,
} from '@carobseam/core.types';
import {splitAddress} from '@carobseam/core.net';
import {StoreStandIn, type StoreCopy} from '@carobseam/platform.store_stand_in';
import {ProcessHandle} from '@carobseam/testing.fixtures';
import {closeSync, mkdtempSync, openSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as pause} from 'node:timers/promises';
import {FaultProxy} from './fault_proxy.js';
import type {Ledger} from './ledger.js';
import {SoakWorker} from './soak_worker.js';

const BUNDLE = path.resolve(
  import.meta.dirname,
  '../../../../target/carobseam-relay.mjs',
);
const SLOTS = 8;
const START_GAP_MS = 100; // a hundred relays that start at once exhaust the processor
const REWRITE_MS = 1500; // after a restore; the users grant about two seconds
const WIDE_MBPS = 100;
const THIN_MBPS = 5;

/** Service of all workers. */
export const SOAK_SERVICE = 'desk' as ServiceName;
/** Host of the requests that the configuration routes. */
export const SOAK_HOST = 'hints.example';
/** Timeout of the quick routes; callers grant more, in ms. */
export const ROUTE_TIMEOUT_MS = 1500;
/** Timeout of the slow routes, in ms; callers grant as much. */
export const SLOW_ROUTE_TIMEOUT_MS = 4000;
/** Time between SIGTERM and SIGKILL, in ms. */
export const GRACE_MS = 6000;
/** Time after which a leaving worker must get nothing, in ms. */
export const DRAIN_MS = 2500;
/** Bounds hold for relays that were calm for as long, in ms. */
export const CONTACT_MS = 3000;

/** One VM: a relay process, its worker, and the proxies on its links. */
export interface SoakVm {
  index: number;
  outbound: {host: string; port: number};
  readyUrl: string;
  worker: SoakWorker;
  /** On the way from other relays. */
  inboundProxy: FaultProxy;
  /** On the way to the store. */
  storeProxy: FaultProxy;
  process?: ProcessHandle;
  /** Last moment of a fault on this VM, on `performance.now`, in ms. */
  faultMs: number;
  /** When relay or worker were last killed or the inbound link was cut. */
  cutMs: number;
  /** When the relay last ended. */
  endedMs: number;
  /** When SIGTERM was last sent to the relay. */
  stopMs: number;
  /** Whether a fault is under way, and whether it concerns the relay. */
  isBusy: boolean;
  isHarmed: boolean;
}

/** Whether a VM's relay has met no fault since a moment. */
export function isCalmSince(vm: SoakVm, sinceMs: number): boolean {
  return !vm.isHarmed && vm.faultMs < sinceMs;
}

/** Whether a process on a VM was killed or its link cut since a moment. */
export function isCutSince(vm: SoakVm, sinceMs: number): boolean {
  return vm.cutMs >= sinceMs;
}

/** Options of `SoakMesh`. */
export interface SoakMeshOptions {
  vms: number;
  basePort: number;
  retryBudget: {retryBudgetRatio: number; retryBudgetSlack: number};
  random: RandomSource;
  ledger: Ledger;
  /** Hears of each request that reaches the worker of a VM. */
  onArrival: (requestId: string, vm: SoakVm) => void;
}

/** Everything that a soak runs: store, workers, proxies, relay processes. */
export class SoakMesh {
  readonly store = new StoreStandIn();
  readonly vms: SoakVm[] = [];
  readonly logDir = mkdtempSync(path.join(tmpdir(), 'carobseam-soak-'));
  /** Last moment of a fault of the store, on `performance.now`, in ms. */
  storeFaultMs = -Infinity;
  version = 0;
  /** Whether callers use the slow routes. */
  hasSlowCallers = false;
  readonly #options: SoakMeshOptions;
  #incarnations = 0;
  #storeAddress = '';
  #isClosed = false;

  constructor(options: SoakMeshOptions) {
    this.#options = options;
  }

  async start(): Promise<void> {
    this.#storeAddress = await this.store.listen('127.0.0.1');
    this.changeConfig();
    for (let index = 0; index < this.#options.vms; index++) {
      this.vms.push(await this.#createVm(index));
    }
    // No relay may outlive a soak that fails.
    process.once('exit', () =>
      this.vms.forEach(vm => vm.process?.signal('SIGKILL')),
    );
    for (const vm of this.vms) {
      this.startRelay(vm);
      await pause(START_GAP_MS);
    }
  }

  /** Puts the next version in force: only its own probe route exists. */
  changeConfig(): void {
    this.version++;
    this.#putConfig();
  }

  #putConfig(): void {
    const config: MeshConfig = {
      version: this.version as ConfigVersion,
      routes: [
        createRoute('read', QUICK_READ),
        createRoute('buy', QUICK_BUY),
        createRoute('slowRead', SLOW_READ),
        createRoute('slowBuy', SLOW_BUY),
        createRoute(`v${this.version}`, QUICK_READ),
      ],
      limits: {
        maxHeaderBytes: 16384,
        maxBodyBytes: 1_000_000,
        headerTimeoutMs: 3000,
        idleTimeoutMs: 15_000,
      },
    };
    this.store.putConfig(config);
  }

  /** Restores the store; then operators and living workers write again. */
  async restoreStore(copy: StoreCopy): Promise<void> {
    this.store.restore(copy);
    const {random} = this.#options;
    const copiedIds = this.store.workerIds();
    await Promise.all([
      pause(random.nextFloat() * REWRITE_MS).then(() => this.#putConfig()),
      ...this.vms.map(async vm => {
        await pause(random.nextFloat() * REWRITE_MS);
        if (vm.worker.isUp) {
          this.store.putWorker(this.entryOf(vm));
        }
      }),
    ]);
    const livingIds = new Set(this.vms.map(vm => vm.worker.id));
    copiedIds
      .filter(id => !livingIds.has(id))
      .forEach(id => this.store.removeWorker(id));
  }

  /** Has all living workers write their entries. */
  reportWorkers(): void {
    this.vms
      .filter(vm => vm.worker.isUp)
      .forEach(vm => this.store.putWorker(this.entryOf(vm)));
  }

  async startWorker(vm: SoakVm): Promise<void> {
    await vm.worker.start(`i-${vm.index}-${++this.#incarnations}`);
    this.store.putWorker(this.entryOf(vm));
  }

  entryOf(vm: SoakVm): MeshWorker {
    return {
      id: vm.worker.id as WorkerId,
      service: SOAK_SERVICE,
      address: `${publicHost(vm.index)}:${this.#options.basePort}`,
      dataCentre: 'wien' as DataCentreName,
      slots: SLOTS,
      isLeaving: vm.worker.isDraining,
      coldRemainingMs: 0,
      bornMs: vm.worker.bornMs,
    };
  }

  /**
   * Starts a VM's relay, unless one is running: of two faults that meet the same
   * end, each restarts it.
   */
  startRelay(vm: SoakVm): void {
    if (this.#isClosed || vm.process?.isRunning) {
      return;
    }
    const file = path.join(this.logDir, `relay-${vm.index}.yaml`);
    const logFd = openSync(file.replace('.yaml', '.log'), 'a');
    vm.process = new ProcessHandle({
      script: BUNDLE,
      args: [],
      env: {CAROBSEAM_NODE_FILE: file},
      stdoutFd: logFd,
    });
    closeSync(logFd);
    void vm.inboundProxy.refuseUntilUp();
    void vm.process.exited.then(() => vm.inboundProxy.refuseUntilUp());
  }

  async close(): Promise<void> {
    this.#isClosed = true;
    await Promise.all(this.vms.map(vm => vm.process?.kill()));
    for (const vm of this.vms) {
      vm.inboundProxy.close();
      vm.storeProxy.close();
      await vm.worker.crash();
    }
    await this.store.close();
  }

  async #createVm(index: number): Promise<SoakVm> {
    const {basePort, retryBudget, random, ledger} = this.#options;
    const [host, shown] = [`127.0.10.${index + 1}`, publicHost(index)];
    const inboundProxy = new FaultProxy({host, port: basePort + 2});
    await inboundProxy.listen(shown, basePort + 2);
    const storeProxy = new FaultProxy(splitAddress(this.#storeAddress));
    await storeProxy.listen(shown, basePort + 5);
    const settings = {
      vm: `vm-${index}`,
      vmAddress: host,
      dataCentre: 'wien',
      service: SOAK_SERVICE,
      workerAddress: `${shown}:${basePort}`,
      outboundAddress: `${host}:${basePort + 1}`,
      inboundAddress: `${host}:${basePort + 2}`,
      readyAddress: `${host}:${basePort + 3}`,
      controlAddress: `${shown}:${basePort + 4}`,
      metricsPort: basePort + 6,
      seedAddresses: [],
      storeAddress: `${shown}:${basePort + 5}`,
      linkMbps: index < 2 ? WIDE_MBPS : THIN_MBPS,
      graceS: GRACE_MS / 1000,
      drainMs: DRAIN_MS,
      contactMs: CONTACT_MS,
      ...retryBudget,
    };
    const file = path.join(this.logDir, `relay-${index}.yaml`);
    writeFileSync(file, JSON.stringify(settings));
    const vm: SoakVm = {
      index,
      outbound: {host, port: basePort + 1},
      readyUrl: `http://${host}:${basePort + 3}/ready`,
      worker: new SoakWorker({
        host: shown,
        port: basePort,
        vmIndex: index,
        slots: SLOTS,
        random,
        ledger,
        onArrival: id => this.#options.onArrival(id, vm),
      }),
      inboundProxy,
      storeProxy,
      faultMs: -Infinity,
      cutMs: -Infinity,
      endedMs: -Infinity,
      stopMs: -Infinity,
      isBusy: false,
      isHarmed: false,
    };
    await this.startWorker(vm);
    return vm;
  }
}

function publicHost(index: number): string {
  return `127.0.20.${index + 1}`;
}

type RouteKind = Pick<
  MeshRoute,
  'isIdempotent' | 'timeoutMs' | 'targetLatencyMs' | 'rank'
>;

const QUICK_READ: RouteKind = {
  isIdempotent: true,
  timeoutMs: ROUTE_TIMEOUT_MS,
  targetLatencyMs: 400,
  rank: 2,
};
const QUICK_BUY: RouteKind = {...QUICK_READ, isIdempotent: false, rank: 1};
const SLOW_READ: RouteKind = {
  isIdempotent: true,
  timeoutMs: SLOW_ROUTE_TIMEOUT_MS,
  targetLatencyMs: SLOW_ROUTE_TIMEOUT_MS,
  rank: 3,
};
const SLOW_BUY: RouteKind = {...SLOW_READ, isIdempotent: false};

function createRoute(name: string, kind: RouteKind): MeshRoute {
  return {
    ...kind,
    name: name as RouteName,
    host: SOAK_HOST,
    pathPrefix: `/${name}/`,
    maxAttempts: 2,
    shares: [{service: SOAK_SERVICE, weight: 1}],
  };
}
