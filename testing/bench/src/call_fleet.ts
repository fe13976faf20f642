import {
  listFilesToPublish,
  renderVersion,
  type Declarations,
} from '@carobseam/config.declarations';
import type {Resource} from '@carobseam/config.types';
import type {
  ConfigVersion,
  DataCentreName,
  PolicyName,
  ServiceName,
  VmId,
} from '@carobseam/core.types';
import {
  LocalFleet,
  makeDeclarations,
  makePolicy,
  makeRoute,
  makeService,
  type LocalFleetOptions,
  type PlannedVm,
} from '@carobseam/testing.fixtures';

/** Options of `startCallFleet`. */
export interface CallFleetOptions {
  basePort: number;
  /** Service of each VM, in order. */
  services: readonly string[];
  upstream: LocalFleetOptions['upstream'];
  daemonScript?: string;
  daemonArgs?: LocalFleetOptions['daemonArgs'];
  /** Whether the processes are daemons that report a status. */
  waitForDaemons?: boolean;
}

const DATA_CENTRE = 'dc-0' as DataCentreName;
const START_TIMEOUT_MS = 20_000;
const KEY_PREFIX = 'carobseam';
const PLAIN_START_MS = 1500;

/** Path of the interactive and the deferrable operation of a service. */
export function operationPath(
  service: string,
  operationClass: 'interactive' | 'deferrable',
): string {
  return `/${service}/${operationClass}/1`;
}

/** Starts a small fleet in one data centre whose services have two routes. */
export async function startCallFleet(
  options: CallFleetOptions,
): Promise<LocalFleet> {
  const fleet = new LocalFleet({
    vms: planVms(options),
    region: 'bench',
    disseminationProfile: 'fast',
    platformPort: options.basePort,
    platformCallsPerSecond: 2000,
    upstream: options.upstream,
    daemonScript: options.daemonScript,
    daemonArgs: options.daemonArgs,
  });
  try {
    await fleet.startPlatform();
    const rendered = renderVersion({
      declarations: makeCallDeclarations(options),
      version: 1 as ConfigVersion,
    });
    await fleet.platform.publish(listFilesToPublish(rendered, KEY_PREFIX));
    fleet.vms.forEach(vm => fleet.startUpstream(vm));
    fleet.vms.forEach(vm => fleet.startDaemon(vm));
    if (options.waitForDaemons === false) {
      await new Promise(resolve => setTimeout(resolve, PLAIN_START_MS));
    } else if (!(await fleet.waitForVersion(1, START_TIMEOUT_MS))) {
      throw new Error(`not all daemons serve after ${START_TIMEOUT_MS} ms`);
    }
    return fleet;
  } catch (error) {
    await fleet.close();
    throw error;
  }
}

function planVms(options: CallFleetOptions): PlannedVm[] {
  return options.services.map((service, index) => {
    const port = options.basePort + 10 + index * 4;
    return {
      vmId: `vm-${index}` as VmId,
      dataCentre: DATA_CENTRE,
      service: service as ServiceName,
      address: '127.0.0.1',
      callersPort: port,
      fleetPort: port + 1,
      adminPort: port + 2,
      upstreamPort: port + 3,
    };
  });
}

function makeCallDeclarations(options: CallFleetOptions): Declarations {
  const names = [...new Set(options.services)] as ServiceName[];
  const {slots, connections} = options.upstream;
  const policies: Resource[] = [
    makePolicy({
      name: 'interactive' as PolicyName,
      timeoutMs: 1000,
      queueLength: 200,
    }),
    makePolicy({
      name: 'deferrable' as PolicyName,
      timeoutMs: 10_000,
      firstByteTimeoutMs: 5000,
      queueLength: 2000,
    }),
  ];
  const services = names.map(name =>
    makeService({name, dataCentres: [DATA_CENTRE], slots, connections}),
  );
  const routes = names.map((service): Resource => ({
    kind: 'routes',
    name: service,
    routes: (['interactive', 'deferrable'] as const).map(operationClass =>
      makeRoute({
        name: `${service}-${operationClass}`,
        path: `/${service}/${operationClass}/*`,
        service,
        policy: operationClass as string as PolicyName,
        operationClass,
      }),
    ),
  }));
  return makeDeclarations([...policies, ...services, ...routes]);
}
