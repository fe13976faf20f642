import {spawn} from 'node:child_process';
import {closeSync, mkdtempSync, openSync, rmSync, writeFileSync} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {CutProxy} from './cut_proxy.mjs';
import {Store} from './store.mjs';
import {Worker} from './worker.mjs';

const ROOT = path.resolve(import.meta.dirname, '../..');
const PORTS = {
  worker: 0,
  outbound: 1,
  inbound: 2,
  ready: 3,
  control: 4,
  metrics: 5,
};
const SLOTS = 18;
const READY_TIMEOUT_MS = 15_000;

/** Relays as processes on loopback addresses, with a store and workers. */
export class Mesh {
  store = new Store();
  vms = [];
  /** Machines that are not in use yet. */
  spares = [];
  #dir = mkdtempSync(path.join(tmpdir(), 'carobseam-review-'));

  /**
   * @param vms for each VM its service, its zone and `serve`, which runs a
   *     request.
   * @param spares the same for machines that `add` puts into use.
   * @param hasStoreLinks whether the link of each machine to the store can be cut.
   */
  static async start({vms, spares = [], config, hasStoreLinks = false}) {
    const mesh = new Mesh();
    process.once('exit', () => mesh.#end());
    process.once('SIGTERM', () => process.exit(2));
    mesh.storeAddress = await mesh.store.listen('127.0.0.1');
    mesh.store.putConfig(config);
    const all = [...vms, ...spares];
    const hosts = all.map((_vm, index) => `127.0.77.${index + 1}`);
    const base = await findFreePorts(hosts);
    const created = all.map((options, index) =>
      createVm({...options, index, host: hosts[index], base}),
    );
    mesh.vms = created.slice(0, vms.length);
    mesh.spares = created.slice(vms.length);
    for (const vm of created) {
      vm.storeAddress = mesh.storeAddress;
      if (hasStoreLinks) {
        await mesh.#createStoreLink(vm);
      }
    }
    for (const vm of mesh.vms) {
      await mesh.#startWorker(vm);
    }
    mesh.vms.forEach(vm => mesh.startRelay(vm));
    await Promise.all(mesh.vms.map(vm => mesh.#untilReady(vm)));
    await pause(1000);
    return mesh;
  }

  /** Adds a machine with its worker. */
  async add(vm) {
    this.vms.push(vm);
    await this.#startWorker(vm);
    this.startRelay(vm);
  }

  /** Status of the answer to the platform's readiness check; 0 without one. */
  readiness(vm) {
    return new Promise(resolve => {
      const request = http.get(`http://${vm.at('ready')}/ready`, response => {
        response.resume();
        resolve(response.statusCode);
      });
      request.setTimeout(1000, () => request.destroy());
      request.on('error', () => resolve(0));
    });
  }

  async #createStoreLink(vm) {
    const [host, port] = this.storeAddress.split(':');
    vm.storeLink = new CutProxy({host, port: Number(port)});
    vm.storeAddress = await vm.storeLink.listen('127.0.0.1');
  }

  async #startWorker(vm) {
    await vm.worker.start();
    this.putWorker(vm);
  }

  putWorker(vm, change = {}) {
    this.sequence = (this.sequence ?? 0) + 1;
    this.store.putWorker(vm.worker.id, {
      service: vm.service,
      address: vm.at('worker'),
      zone: vm.zone,
      version: 'v1',
      slots: SLOTS,
      state: 'ready',
      coldRemainingMs: 0,
      sequence: this.sequence,
      born: vm.worker.bornMs,
      ...change,
    });
  }

  /** Runs the command of `deploy/system.toml` in the repository root. */
  startRelay(vm) {
    vm.settingsFile = path.join(this.#dir, `${vm.index + 1}.yaml`);
    this.#writeSettings(vm);
    const log = openSync(path.join(this.#dir, `${vm.index + 1}.log`), 'a');
    vm.process = spawn('node', ['target/carobseam-relay.mjs'], {
      cwd: ROOT,
      stdio: ['ignore', log, log],
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        CAROBSEAM_NODE_FILE: vm.settingsFile,
      },
    });
    closeSync(log);
  }

  close() {
    this.#end();
    this.store.close();
    for (const vm of [...this.vms, ...this.spares]) {
      vm.worker.crash();
      vm.storeLink?.close();
    }
  }

  #end() {
    this.vms.forEach(vm => vm.process?.kill('SIGKILL'));
    if (!process.env.KEEP_LOGS) {
      rmSync(this.#dir, {recursive: true, force: true});
    }
  }

  async #untilReady(vm) {
    const endMs = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < endMs) {
      if ((await this.readiness(vm)) === 200) {
        return;
      }
      await pause(50);
    }
    throw new Error(`the relay of ${vm.host} is not ready`);
  }

  #writeSettings(vm) {
    const settings = {
      vm: `vm-${vm.index + 1}`,
      vmAddress: vm.host,
      dataCentre: vm.zone,
      service: vm.service,
      workerAddress: vm.at('worker'),
      outboundAddress: vm.at('outbound'),
      inboundAddress: vm.at('inbound'),
      readyAddress: vm.at('ready'),
      controlAddress: vm.at('control'),
      metricsPort: vm.base + PORTS.metrics,
      seedAddresses: [],
      storeAddress: vm.storeAddress,
      linkMbps: 1000,
      graceS: 6,
      drainMs: 2000,
      retryBudgetRatio: 0.2,
      retryBudgetSlack: 64,
    };
    writeFileSync(vm.settingsFile, JSON.stringify(settings));
  }
}

/** The limits of the example in the users' pages. */
export const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 67_108_864,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
};

function createVm({index, host, base, service, serve, zone = 'zone-1'}) {
  const at = name => `${host}:${base + PORTS[name]}`;
  const port = base + PORTS.worker;
  const worker = new Worker({id: `i-${index + 1}`, host, port, serve});
  const outbound = {host, port: base + PORTS.outbound};
  return {index, host, base, worker, service, zone, at, outbound};
}

/** Finds a run of ports that are free on all hosts. */
async function findFreePorts(hosts) {
  const count = Object.keys(PORTS).length;
  for (;;) {
    const base = 20_000 + Math.floor(Math.random() * 10_000);
    const ports = Array.from({length: count}, (_none, index) => base + index);
    const checks = hosts.flatMap(host => ports.map(port => isFree(host, port)));
    if ((await Promise.all(checks)).every(Boolean)) {
      return base;
    }
  }
}

function isFree(host, port) {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}
