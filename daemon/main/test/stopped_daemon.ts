import {listFilesToPublish} from '@carobseam/config.declarations';
import type {DataCentreName, ServiceName, VmId} from '@carobseam/core.types';
import {
  connectRaw,
  LocalFleet,
  makeDeclarations,
  makePolicy,
  makeRoute,
  makeService,
  makeVersion,
  type PlannedVm,
  type ProcessHandle,
  type RawConnection,
  until,
} from '@carobseam/testing.fixtures';
import http from 'node:http';

const HOST = '127.0.0.1';
const PORTS_PER_TEST = 8;
const START_TIMEOUT_MS = 8000;
const READY_ID = 'ready'; // of requests that are sent until the daemon serves

let nextPort = 21_000 + (process.pid % 300) * PORTS_PER_TEST;

/** A request that the worker received, with the response to write to. */
export interface ReceivedRequest {
  id: string;
  body: string;
  response: http.ServerResponse;
}

/** A daemon that runs as a process, with a worker in the thread of the test. */
export interface StoppedDaemon {
  process: ProcessHandle;
  port: number;
  /** Requests that the worker has received from the test. */
  requests: ReceivedRequest[];
  connect: () => Promise<RawConnection>;
  /** Waits until the worker has received a number of requests. */
  untilReceived: (count: number) => Promise<void>;
  exited: () => Promise<void>;
}

/** Options of `withDaemon`. */
export interface DaemonOptions {
  path?: string;
  settings?: Record<string, unknown>;
}

/**
 * Starts a daemon, runs a test with it, and ends it.
 *
 * @param handle writes the worker's response.
 * @param options.path path of a route that must be served before the test; that
 *   of `/buy` may not be repeated and is served only 5 s after the start.
 * @param options.settings replace settings of the daemon.
 */
export async function withDaemon(
  handle: (request: ReceivedRequest) => void,
  run: (daemon: StoppedDaemon) => Promise<void>,
  {path = '/read', settings = {}}: DaemonOptions = {},
): Promise<void> {
  const vm = planVm();
  const requests: ReceivedRequest[] = [];
  const worker = http.createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', chunk => chunks.push(chunk as Buffer));
    request.on('end', () => {
      const id = String(request.headers['x-request-id']);
      const body = Buffer.concat(chunks).toString();
      if (id === READY_ID) {
        response.end();
        return;
      }
      requests.push({id, body, response});
      handle(requests.at(-1)!);
    });
  });
  await new Promise<void>(resolve => {
    worker.listen(vm.upstreamPort, HOST, resolve);
  });
  const fleet = new LocalFleet({
    vms: [vm],
    region: 'east',
    disseminationProfile: 'fast',
    platformPort: vm.upstreamPort + 1,
    platformCallsPerSecond: 1000,
    upstream: {slots: 20, connections: 130, workMs: 0},
    settings,
  });
  try {
    await fleet.startPlatform();
    await fleet.platform.publish(listFilesToPublish(makeMesh(), 'carobseam'));
    fleet.startDaemon(vm);
    if (!(await fleet.waitForVersion(1, START_TIMEOUT_MS))) {
      throw new Error('the daemon does not serve');
    }
    const daemon = fleet.getDaemonProcess(vm);
    await until(() => isServed(vm.callersPort, path));
    await run({
      process: daemon,
      port: vm.callersPort,
      requests,
      connect: () => connectRaw(HOST, vm.callersPort),
      untilReceived: count => until(() => requests.length >= count),
      exited: () => until(() => !daemon.isRunning),
    });
  } finally {
    await fleet.close();
    worker.close();
    worker.closeAllConnections();
  }
}

/** Returns the text of a request. */
export function requestText(
  id: string,
  {path = '/read', version = '1.1', framing = 'content-length: 0'} = {},
): string {
  return [
    `POST ${path} HTTP/${version}`,
    `host: ${HOST}`,
    `x-request-id: ${id}`,
    framing,
    '\r\n',
  ].join('\r\n');
}

async function isServed(port: number, path: string): Promise<boolean> {
  const {socket, closed, received} = await connectRaw(HOST, port);
  socket.write(requestText(READY_ID, {path, framing: 'connection: close'}));
  await closed;
  return received().startsWith('HTTP/1.1 200');
}

function planVm(): PlannedVm {
  nextPort += PORTS_PER_TEST;
  return {
    vmId: 'vm-a' as VmId,
    dataCentre: 'ost-wien' as DataCentreName,
    service: 'hintdesk' as ServiceName,
    address: HOST,
    callersPort: nextPort,
    fleetPort: nextPort + 1,
    adminPort: nextPort + 2,
    upstreamPort: nextPort + 3,
  };
}

function makeMesh() {
  const routes = [
    makeRoute({name: 'read', method: 'ANY', path: '/read'}),
    makeRoute({name: 'buy', method: 'POST', path: '/buy', repeatable: false}),
  ];
  return makeVersion(
    1,
    makeDeclarations([
      makeService({rampMs: 1}),
      makePolicy({timeoutMs: 8000, firstByteTimeoutMs: 8000}),
      {kind: 'routes', name: 'hints', routes},
    ]),
  );
}
