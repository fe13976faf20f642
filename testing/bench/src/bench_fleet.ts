import {
  listFilesToPublish,
  renderVersion,
  type Declarations,
} from '@carobseam/config.declarations';
import type {
  ConfigVersion,
  DataCentreName,
  PresetName,
  ServiceName,
  VmId,
} from '@carobseam/core.types';
import {
  LocalFleet,
  makeLargeDeclarations,
  waitUntil,
  type PlannedVm,
} from '@carobseam/testing.fixtures';
import type {BenchOptions} from './bench_options.js';
import {VersionTimeline} from './version_timeline.js';

/** Options of a `BenchFleet`. */
export interface BenchFleetOptions extends BenchOptions {
  profile?: 'fast' | 'small';
  /** Entry point of the processes in place of the daemon. */
  daemonScript?: string;
  dataCentres?: number;
}

/** Calls per second and daemons of the target, which scale the limit. */
const TARGET_CALLS_PER_SECOND = 2000;
const TARGET_DAEMONS = 2100;
const TARGET_SERVICES = 53;
const ROUTES_PER_SERVICE = 20;
const DEFAULT_DATA_CENTRES = 2;
const PORTS_PER_VM = 4;
const KEY_PREFIX = 'carobseam';
const START_TIMEOUT_MS = 60_000;
const VERSION_TIMEOUT_MS = 60_000;

/** A fleet with a configuration of the target's size. */
export class BenchFleet {
  readonly fleet: LocalFleet;
  readonly timeline = new VersionTimeline();
  #declarations: Declarations;
  #version = 0;
  #acceptedMs = 0;

  constructor(options: BenchFleetOptions) {
    const dataCentres = dataCentreNames(
      options.dataCentres ?? DEFAULT_DATA_CENTRES,
    );
    this.#declarations = makeLargeDeclarations({
      services: TARGET_SERVICES,
      routesPerService: ROUTES_PER_SERVICE,
      dataCentres,
    });
    this.fleet = new LocalFleet({
      vms: planVms(options, dataCentres),
      region: 'bench',
      disseminationProfile: options.profile ?? 'fast',
      platformPort: options.basePort,
      platformCallsPerSecond: platformLimit(options.daemons),
      upstream: {slots: 20, connections: 130, workMs: 0},
      daemonScript: options.daemonScript,
      logLevel: 'info',
      onLog: (vm, text) => this.timeline.addLog(vm, text),
    });
  }

  get version(): number {
    return this.#version;
  }

  get vms(): readonly PlannedVm[] {
    return this.fleet.vms;
  }

  /** Starts the platform and every process, and waits for version 1. */
  async start(): Promise<void> {
    await this.fleet.startPlatform();
    await this.#publish();
    this.vms.forEach(vm => this.fleet.startDaemon(vm));
    await this.waitForVersion(START_TIMEOUT_MS);
  }

  /** Publishes a version in which one route differs. */
  async changeOneRoute(): Promise<void> {
    const index = this.#version % this.#declarations.resources.length;
    this.#declarations = changeRoute(this.#declarations, index, this.#version);
    await this.#publish();
  }

  /** Publishes a version with another active preset. */
  async switchPreset(name: string): Promise<void> {
    const mesh = {activePreset: name as PresetName};
    this.#declarations = {...this.#declarations, mesh};
    await this.#publish();
  }

  /** Waits until every process holds the newest version. */
  async waitForVersion(timeoutMs = VERSION_TIMEOUT_MS): Promise<void> {
    const done = await waitUntil(
      async () => this.lastAppliedMs() !== undefined,
      timeoutMs,
    );
    if (!done) {
      const missing = this.vms.filter(
        vm => this.timeline.appliedMs(vm.vmId, this.#version) === undefined,
      );
      throw new Error(
        `${missing.length} of ${this.vms.length} daemons lack version ` +
          `${this.#version} after ${timeoutMs} ms, such as ${missing[0]?.vmId}`,
      );
    }
  }

  /** Time at which the manifest of the newest version was published. */
  get acceptedMs(): number {
    return this.#acceptedMs;
  }

  /** Times at which the processes applied the newest version. */
  appliedMs(): Array<number | undefined> {
    return this.vms.map(vm => this.timeline.appliedMs(vm.vmId, this.#version));
  }

  /** Time of the last process; undefined while one lacks the version. */
  lastAppliedMs(): number | undefined {
    const times = this.appliedMs();
    return times.every(time => time !== undefined)
      ? Math.max(...times)
      : undefined;
  }

  /** Kills daemons at once and starts them again. */
  async restart(vms: readonly PlannedVm[]): Promise<void> {
    await Promise.all(vms.map(vm => this.fleet.getDaemonProcess(vm).kill()));
    for (const vm of vms) {
      this.timeline.forget(vm.vmId);
      this.fleet.startDaemon(vm);
    }
  }

  /** Control bytes that all daemons have sent. */
  async controlBytesSent(): Promise<number> {
    const sent = await Promise.all(
      this.vms.map(vm => this.fleet.fetchControlBytesSent(vm)),
    );
    return sent.reduce((sum, bytes) => sum + bytes, 0);
  }

  async close(): Promise<void> {
    await this.fleet.close();
  }

  async #publish(): Promise<void> {
    this.#version++;
    const rendered = renderVersion({
      declarations: this.#declarations,
      version: this.#version as ConfigVersion,
    });
    const files = listFilesToPublish(rendered, KEY_PREFIX);
    await this.fleet.platform.publish(files.slice(0, -1));
    this.#acceptedMs = performance.now();
    await this.fleet.platform.publish(files.slice(-1));
  }
}

/** The platform's limit for a part of the target's fleet. */
export function platformLimit(daemons: number): number {
  return Math.max(
    1,
    Math.round((TARGET_CALLS_PER_SECOND * daemons) / TARGET_DAEMONS),
  );
}

function changeRoute(
  declarations: Declarations,
  from: number,
  version: number,
): Declarations {
  const {resources} = declarations;
  const ordered = [...resources.slice(from), ...resources.slice(0, from)];
  const target = ordered.find(resource => resource.kind === 'routes')!;
  return {
    ...declarations,
    resources: resources.map(resource => {
      if (resource !== target || resource.kind !== 'routes') {
        return resource;
      }
      const [first, ...rest] = resource.routes;
      const path = `${first!.path.replace(/\/\*$|\/v\d+\/\*$/, '')}/v${version}/*`;
      return {...resource, routes: [{...first!, path}, ...rest]};
    }),
  };
}

function planVms(
  options: BenchFleetOptions,
  dataCentres: readonly DataCentreName[],
): PlannedVm[] {
  return Array.from({length: options.daemons}, (_, index) => {
    const dataCentre = dataCentres[index % dataCentres.length]!;
    const port = options.basePort + 10 + index * PORTS_PER_VM;
    return {
      vmId: `${dataCentre}-vm-${index}` as VmId,
      dataCentre,
      service: `service-${index % TARGET_SERVICES}` as ServiceName,
      address: '127.0.0.1',
      callersPort: port,
      fleetPort: port + 1,
      adminPort: port + 2,
      upstreamPort: port + 3,
    };
  });
}

function dataCentreNames(count: number): DataCentreName[] {
  return Array.from(
    {length: count},
    (_, index) => `dc-${index}` as DataCentreName,
  );
}
