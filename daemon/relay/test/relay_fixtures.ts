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
  Clock,
  ConfigVersion,
  DataCentreName,
  RandomSource,
  ServiceName,
  VmId,
} from '@carobseam/core.types';
import {RateLimitedLog, Relay} from '@carobseam/daemon.relay';
import {wireHeaders} from '@carobseam/platform.adapter';
import http from 'node:http';
import type {AddressInfo} from 'node:net';

const HOST = 'hints.example';

/** A request that a fake worker received, with the response to write to. */
export interface ReceivedRequest {
  url: string;
  headers: http.IncomingHttpHeaders;
  body: string;
  response: http.ServerResponse;
}

/** A worker whose responses a test determines. */
export interface FakeWorker {
  address: string;
  /** All requests received so far. */
  requests: ReceivedRequest[];
  close(): Promise<void>;
}

/** Starts a fake worker on a loopback address. */
export async function startWorker(
  host: string,
  handle: (request: ReceivedRequest) => void = respond,
): Promise<FakeWorker> {
  const requests: ReceivedRequest[] = [];
  const server = http.createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', chunk => chunks.push(chunk as Buffer));
    request.on('end', () => {
      const received = {
        url: request.url!,
        headers: request.headers,
        body: Buffer.concat(chunks).toString(),
        response,
      };
      requests.push(received);
      handle(received);
    });
  });
  await new Promise<void>(resolve => {
    server.listen(0, host, resolve);
  });
  return {
    address: `${host}:${(server.address() as AddressInfo).port}`,
    requests,
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

/** Sends a signed response that echoes the URL and the body of the request. */
export function respond(request: ReceivedRequest): void {
  request.response.writeHead(200, {
    [wireHeaders.requestId]: request.headers[wireHeaders.requestId]!,
    [wireHeaders.workerSignature]: 'signature',
  });
  request.response.end(`ran ${request.url} ${request.body}`);
}

/** Sends a response which states that the worker did not run the request. */
export function respondNotExecuted(request: ReceivedRequest): void {
  request.response.writeHead(503, {[wireHeaders.notExecuted]: '1'});
  request.response.end();
}

/** Closes the connection without a response, as if the request had run. */
export function dropConnection(request: ReceivedRequest): void {
  request.response.destroy();
}

/** A source whose snapshot never changes. */
export class FakeSource implements MeshSource {
  readonly #snapshot: MeshSnapshot;

  constructor(snapshot: MeshSnapshot) {
    this.#snapshot = snapshot;
  }

  probe(): Promise<void> {
    return Promise.resolve();
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

/** Creates the entry of a fake worker in the store. */
export function createWorkerEntry(
  worker: Pick<FakeWorker, 'address'>,
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

/** Creates a snapshot with an idempotent and a non-idempotent route to `desk`. */
export function createSnapshot(workers: readonly MeshWorker[]): MeshSnapshot {
  const createRoute = (name: string, isIdempotent: boolean) => ({
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
      routes: [createRoute('read', true), createRoute('buy', false)],
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

/**
 * Allocates the ports of one test. Its relays use the same ports on different
 * addresses, as on the platform.
 */
export function allocatePorts(): number[] {
  nextPort += 8;
  return [0, 1, 2, 3, 4].map(offset => nextPort + offset);
}

/** A relay under test; `close` stops it and its log. */
export interface RunningRelay {
  relay: Relay;
  close(): void;
}

/** Starts a relay on the same address as its worker. */
export async function startRelay(
  worker: Pick<FakeWorker, 'address'>,
  ports: readonly number[],
  source: MeshSource,
  clock: Clock = new SystemClock(),
  random: RandomSource = new SeededRandom(5),
): Promise<RunningRelay> {
  const {host: vmAddress} = splitAddress(worker.address);
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
      contactMs: 3000,
      retryBudgetRatio: 0.2,
      retryBudgetSlack: 64,
    },
    source,
    clock,
    random,
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

/** A complete response as the caller received it. */
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

/** Sends a request to a relay as a caller does. */
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
