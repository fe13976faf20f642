import {StoreStandIn} from '@carobseam/platform.store_stand_in';
import {wireHeaders} from '@carobseam/platform.adapter';
import {
  connectRaw,
  ProcessHandle,
  until,
  type RawConnection,
} from '@carobseam/testing.fixtures';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import http from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {
  allocatePorts,
  createSnapshot,
  createWorkerEntry,
  startWorker,
  type FakeWorker,
  type ReceivedRequest,
} from './relay_fixtures.js';

const BIN = fileURLToPath(new URL('../src/bin.js', import.meta.url));
const HOSTS = ['127.0.0.1', '127.0.0.2'] as const;
const ROUTE_TIMEOUT_MS = 10_000; // longer than the grace time

/** Time from SIGTERM to SIGKILL of the relays under test, in s. */
export const GRACE_S = 4;

/** Where the worker is, as seen from the caller, and which relay is stopped. */
export type StopLayout =
  'own worker' | 'entry relay of a hop' | 'last relay of a hop';

export const STOP_LAYOUTS: readonly StopLayout[] = [
  'own worker',
  'entry relay of a hop',
  'last relay of a hop',
];

/** Relays that run as processes; one of them is to be stopped. */
export interface StoppedRelay {
  process: ProcessHandle;
  /** Requests that the worker has received. */
  requests: ReceivedRequest[];
  /** Connects to the relay of the caller. */
  connect: () => Promise<RawConnection>;
  untilReceived: (count: number) => Promise<void>;
}

/** Starts relays as processes, runs a test with them, and ends them. */
export async function withStoppedRelay(
  layout: StopLayout,
  handle: (request: ReceivedRequest) => void,
  run: (relay: StoppedRelay) => Promise<void>,
): Promise<void> {
  const dir = mkdtempSync(path.join(tmpdir(), 'carobseam-stop-'));
  const ports = allocatePorts();
  const hosts = HOSTS.slice(0, layout === 'own worker' ? 1 : 2);
  const workers: FakeWorker[] = [];
  for (const host of hosts) {
    workers.push(await startWorker(host, handle));
  }
  const worker = workers.at(-1)!;
  const store = new StoreStandIn();
  const storeAddress = await store.listen(HOSTS[0]);
  const {config} = createSnapshot([]);
  config!.routes.forEach(route => (route.timeoutMs = ROUTE_TIMEOUT_MS));
  store.putConfig(config!);
  store.putWorker(createWorkerEntry(worker, 'i-0'));
  const relays = workers.map(({address}, index) =>
    startProcess(path.join(dir, `relay-${index}.yaml`), {
      ...{vm: `vm-${index}`, vmAddress: hosts[index]},
      ...{dataCentre: 'wien', service: 'desk', workerAddress: address},
      outboundAddress: `${hosts[index]}:${ports[0]}`,
      inboundAddress: `${hosts[index]}:${ports[1]}`,
      readyAddress: `${hosts[index]}:${ports[2]}`,
      controlAddress: `${hosts[index]}:${ports[3]}`,
      metricsPort: ports[4],
      ...{seedAddresses: [], storeAddress, linkMbps: 1000},
      ...{graceS: GRACE_S, drainMs: 2000, contactMs: 3000},
      ...{retryBudgetRatio: 0.2, retryBudgetSlack: 64},
    }),
  );
  try {
    for (const host of hosts) {
      await until(() => isReady(`http://${host}:${ports[2]}/`));
    }
    await run({
      process: layout === 'last relay of a hop' ? relays[1]! : relays[0]!,
      requests: worker.requests,
      connect: () => connectRaw(HOSTS[0], ports[0]!),
      untilReceived: count => until(() => worker.requests.length >= count),
    });
  } finally {
    await Promise.all(relays.map(relay => relay.isRunning && relay.kill()));
    await Promise.all(workers.map(({close}) => close()));
    await store.close();
    rmSync(dir, {recursive: true});
  }
}

/** Returns the text of a request; the one of `/buy` may not be repeated. */
export function requestText(
  id: string,
  {
    url = '/buy/1',
    version = '1.1',
    framing = 'Content-Length: 0',
    deadlineMs = 60_000,
  } = {},
): string {
  return [
    `POST ${url} HTTP/${version}`,
    'Host: hints.example',
    `${wireHeaders.requestId}: ${id}`,
    `${wireHeaders.deadlineMs}: ${deadlineMs}`,
    framing,
    '\r\n',
  ].join('\r\n');
}

/** Returns the id of a received request. */
export function idOf({headers}: ReceivedRequest): string {
  return String(headers[wireHeaders.requestId]);
}

function startProcess(file: string, settings: object): ProcessHandle {
  writeFileSync(file, JSON.stringify(settings));
  const env = {CAROBSEAM_NODE_FILE: file};
  return new ProcessHandle({script: BIN, args: [], env});
}

function isReady(url: string): Promise<boolean> {
  return new Promise(resolve => {
    http
      .get(url, {agent: false}, response => {
        response.resume();
        resolve(response.statusCode === 200);
      })
      .on('error', () => resolve(false));
  });
}
