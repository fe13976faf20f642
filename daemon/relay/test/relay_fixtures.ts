import type {
  MeshChanges,
  MeshSnapshot,
  MeshSource,
  MeshWorker,
  RouteName,
  SourceRevision,
  WorkerId,
} from '@carobseam/config.mesh';
import {SeededRandom, SystemClock} from '@carobseam/core.clock';
import {Metrics} from '@carobseam/core.metrics';
import {splitAddress} from '@carobseam/core.net';
import type {
  ConfigVersion,
  DataCentreName,
  ServiceName,
  VmId,
} from '@carobseam/core.types';
import {RateLimitedLog, Relay} from '@carobseam/daemon.relay';
import {wireHeaders} from '@carobseam/platform.adapter';
import http from 'node:http';
import type {AddressInfo} from 'node:net';

const HOST = 'hints.example';

/** A request as a stand-in worker saw it. */
export interface SeenRequest {
  url: string;
  headers: http.IncomingHttpHeaders;
  body: string;
  response: http.ServerResponse;
}

/** A worker whose answers a test chooses. */
export interface StandInWorker {
  address: string;
  seen: SeenRequest[];
  close(): Promise<void>;
}

/** Starts a worker on an address of loopback. */
export async function startWorker(
  host: string,
  react: (seen: SeenRequest) => void = answer,
): Promise<StandInWorker> {
  const seen: SeenRequest[] = [];
  const server = http.createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', chunk => chunks.push(chunk as Buffer));
    request.on('end', () => {
      const entry = {
        url: request.url!,
        headers: request.headers,
        body: Buffer.concat(chunks).toString(),
        response,
      };
      seen.push(entry);
      react(entry);
    });
  });
  await new Promise<void>(resolve => {
    server.listen(0, host, resolve);
  });
  return {
    address: `${host}:${(server.address() as AddressInfo).port}`,
    seen,
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

/** Gives a sealed answer with the request's own body. */
export function answer(seen: SeenRequest): void {
  seen.response.writeHead(200, {
    [wireHeaders.requestId]: seen.headers[wireHeaders.requestId]!,
    [wireHeaders.workerSignature]: 'seal',
  });
  seen.response.end(`ran ${seen.url} ${seen.body}`);
}

/** States that the request was not run. */
export function reject(seen: SeenRequest): void {
  seen.response.writeHead(503, {[wireHeaders.notExecuted]: '1'});
  seen.response.end();
}

/** Ends the connection after the request has run. */
export function loseAnswer(seen: SeenRequest): void {
  seen.response.destroy();
}

/** A source that holds what a test gives it. */
export class FakeSource implements MeshSource {
  readonly #snapshot: MeshSnapshot;

  constructor(snapshot: MeshSnapshot) {
    this.#snapshot = snapshot;
  }

  read(): Promise<MeshSnapshot> {
    return Promise.resolve(this.#snapshot);
  }

  watch(_after: SourceRevision, waitMs: number): Promise<MeshChanges> {
    const {revision} = this.#snapshot;
    return new Promise(resolve => {
      setTimeout(() => resolve({revision, workers: []}), waitMs).unref();
    });
  }

  close(): void {}
}

/** Entry of a stand-in worker. */
export function entryOf(
  worker: StandInWorker,
  id: string,
  dataCentre = 'wien',
): MeshWorker {
  return {
    id: id as WorkerId,
    service: 'desk' as ServiceName,
    address: worker.address,
    dataCentre: dataCentre as DataCentreName,
    slots: 4,
    isLeaving: false,
    coldRemainingMs: 0,
    bornMs: 0,
  };
}

/** A snapshot with a repeatable and a non-repeatable route to `desk`. */
export function createSnapshot(workers: readonly MeshWorker[]): MeshSnapshot {
  const routeOf = (name: string, isIdempotent: boolean) => ({
    name: name as RouteName,
    host: HOST,
    pathPrefix: `/${name}/`,
    isIdempotent,
    timeoutMs: 1500,
    targetLatencyMs: 500,
    rank: 1,
    maxAttempts: 2,
    shares: [{service: 'desk' as ServiceName, weight: 1}],
  });
  return {
    revision: 5 as SourceRevision,
    config: {
      version: 1 as ConfigVersion,
      routes: [routeOf('read', true), routeOf('buy', false)],
      limits: {
        maxHeaderBytes: 16384,
        maxBodyBytes: 1_000_000,
        headerTimeoutMs: 3000,
        idleTimeoutMs: 15_000,
      },
    },
    workers: workers.map(worker => ({
      id: worker.id,
      revision: 5 as SourceRevision,
      worker,
    })),
  };
}

let nextPort = 24_000 + (process.pid % 500) * 8;

/** Ports that the relays of one test share, as on the platform. */
export function takePorts(): number[] {
  nextPort += 8;
  return [0, 1, 2, 3, 4].map(offset => nextPort + offset);
}

/** A relay under test and the log that it writes. */
export interface RunningRelay {
  relay: Relay;
  close(): void;
}

/** Starts a relay on the VM address of a worker. */
export async function startRelay(
  worker: StandInWorker,
  ports: readonly number[],
  source: MeshSource,
): Promise<RunningRelay> {
  const {host: vmAddress} = splitAddress(worker.address);
  const clock = new SystemClock();
  const log = new RateLimitedLog({
    clock,
    base: {},
    onDropped: () => {},
    fd: -1,
  });
  const relay = new Relay({
    settings: {
      vm: `vm-${vmAddress}` as VmId,
      vmAddress,
      dataCentre: 'wien' as DataCentreName,
      service: 'desk' as ServiceName,
      workerAddress: worker.address,
      outboundAddress: `${vmAddress}:${ports[0]}`,
      inboundAddress: `${vmAddress}:${ports[1]}`,
      readyAddress: `${vmAddress}:${ports[2]}`,
      controlAddress: `${vmAddress}:${ports[3]}`,
      metricsPort: ports[4]!,
      seedAddresses: [],
      storeAddress: '127.0.0.1:1',
      linkMbps: 1000,
      graceS: 4,
      drainMs: 2000,
      retryBudgetRatio: 0.2,
      retryBudgetSlack: 64,
    },
    source,
    clock,
    random: new SeededRandom(5),
    log,
    metrics: new Metrics(),
  });
  await relay.start();
  await new Promise(resolve => setTimeout(resolve, 20));
  const close = () => {
    relay.close();
    log.close();
  };
  return {relay, close};
}

/** What a caller got. */
export interface CallerResult {
  status: number;
  headers: http.IncomingHttpHeaders;
  body: string;
}

/** Options of `call`. */
export interface CallOptions {
  host: string;
  port: number;
  path: string;
  method?: string;
  body?: string;
  id?: string;
  deadlineMs?: number;
  signal?: AbortSignal;
}

/** Sends a request as a caller does. */
export function call(options: CallOptions): Promise<CallerResult> {
  return new Promise((resolve, reject) => {
    const request = http.request(
      {
        host: options.host,
        port: options.port,
        path: options.path,
        method: options.method ?? 'GET',
        agent: false,
        signal: options.signal,
        headers: {
          host: HOST,
          [wireHeaders.requestId]: options.id ?? 'id-1',
          [wireHeaders.deadlineMs]: String(options.deadlineMs ?? 3000),
        },
      },
      response => {
        const chunks: Buffer[] = [];
        response.on('data', chunk => chunks.push(chunk as Buffer));
        response.on('error', reject);
        response.on('end', () =>
          resolve({
            status: response.statusCode!,
            headers: response.headers,
            body: Buffer.concat(chunks).toString(),
          }),
        );
      },
    );
    request.on('error', reject);
    request.end(options.body);
  });
}
