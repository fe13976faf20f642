import {CallServer, type CallServerOptions} from '@carobseam/calls.proxy';
import type {KeyGuard, OwnerChooser} from '@carobseam/calls.at_most_once';
import type {CrashMarkStore} from '@carobseam/calls.crash_marks';
import {createSnapshotOrThrow} from '@carobseam/config.snapshot';
import type {PolicyResource, ServiceResource} from '@carobseam/config.types';
import {createDaemonBlackboard} from '@carobseam/core.blackboard';
import {SeededRandom, SystemClock} from '@carobseam/core.clock';
import {silentLogger} from '@carobseam/core.logger';
import {Metrics} from '@carobseam/core.metrics';
import type {DataCentreName, ServiceName, VmId} from '@carobseam/core.types';
import type {WorkerEndpoint} from '@carobseam/fleet.types';
import {
  makeDeclarations,
  makePolicy,
  makeRoute,
  makeService,
  makeVersion,
} from '@carobseam/testing.fixtures';
import http, {type IncomingHttpHeaders, type RequestListener} from 'node:http';
import net, {type AddressInfo, type Socket} from 'node:net';

const ADDRESS = '127.0.0.1';
const DATA_CENTRE = 'ost-wien' as DataCentreName;
const SERVICE = 'hintdesk' as ServiceName;

/** Response that a caller received; `error` when its connection failed. */
export interface CallResult {
  status?: number;
  headers: IncomingHttpHeaders;
  body: string;
  error?: string;
}

/** Options of a test daemon that override the defaults. */
export interface DaemonFields extends Partial<CallServerOptions> {
  id: string;
  policy?: Partial<PolicyResource>;
  service?: ServiceName;
  capacity?: Partial<ServiceResource>;
}

/**
 * Stands in for key guard, owner chooser and crash marks; records the calls.
 */
export class KeyRecorder implements KeyGuard, OwnerChooser, CrashMarkStore {
  readonly events: string[] = [];
  readonly crashes: string[][] = [];
  hasMarks = false;
  owner = 'vm-a';

  decide(): ReturnType<KeyGuard['decide']> {
    const note = (event: string) => () => void this.events.push(event);
    const ticket = {
      complete: ({body}: {body?: Uint8Array}) =>
        void this.events.push(`complete ${Buffer.from(body ?? []).toString()}`),
      markOutcomeUnknown: note('lose'),
      release: note('release'),
    };
    return {kind: 'run', ticket};
  }

  choose(): ReturnType<OwnerChooser['choose']> {
    return {kind: 'owner', vmId: this.owner as VmId};
  }

  isRefused(): boolean {
    return this.hasMarks;
  }

  recordCrash(
    _crashId: string,
    requests: Parameters<CrashMarkStore['recordCrash']>[1],
  ): void {
    this.crashes.push(
      requests.map(request =>
        typeof request === 'string' ? request : request.fingerprint,
      ),
    );
  }

  recordCompletion(): void {}
}

/** Starts and closes the daemons and upstreams of one test. */
export class ProxyHarness {
  readonly keys = new KeyRecorder();
  readonly #closers: (() => unknown)[] = [];

  /** Starts an HTTP upstream; returns its port. */
  async startUpstream(listener: RequestListener): Promise<number> {
    return this.#listen(http.createServer(listener));
  }

  /**
   * Starts a TCP upstream that calls back on received data; returns its port.
   */
  async startRawUpstream(
    onData: (socket: Socket, connection: number) => void,
  ): Promise<number> {
    let connections = 0;
    const server = net.createServer(socket => {
      const connection = connections++;
      socket.on('error', () => {});
      socket.on('data', () => onData(socket, connection));
    });
    return this.#listen(server);
  }

  async startDaemon(upstreamPort: number, fields: DaemonFields) {
    const blackboard = createDaemonBlackboard();
    blackboard.write('snapshot', makeSnapshot(fields));
    blackboard.write('lifecycle', 'serving');
    const metrics = new Metrics();
    const server = new CallServer({
      vmId: fields.id as VmId,
      dataCentre: DATA_CENTRE,
      service: fields.service ?? SERVICE,
      address: ADDRESS,
      port: 0,
      upstream: {address: ADDRESS, port: upstreamPort},
      blackboard,
      clock: new SystemClock(),
      random: new SeededRandom(1),
      metrics,
      logger: silentLogger,
      keyGuard: this.keys,
      ownerChooser: this.keys,
      issueKey: () => ({
        text: `${DATA_CENTRE}.${Date.now().toString(36)}.issued-key`,
        dataCentre: DATA_CENTRE,
        issuedWallMs: Date.now(),
      }),
      crashMarks: this.keys,
      shutdownTimeoutMs: 1000,
      leavingNoticeMs: 20,
    });
    await server.start();
    this.#closers.push(() => server.close());
    const {port} = server;
    const listWorkers = (...workers: WorkerEndpoint[]) =>
      blackboard.write('endpoints', new Map([[SERVICE, workers]]));
    const endpoint = makeEndpoint(fields.id, port);
    listWorkers(endpoint);
    return {server, port, blackboard, metrics, listWorkers, endpoint};
  }

  async close(): Promise<void> {
    await Promise.all(this.#closers.map(close => close()));
  }

  async #listen(server: net.Server): Promise<number> {
    const sockets = new Set<Socket>();
    server.on('connection', socket => sockets.add(socket));
    await new Promise<void>(resolve => server.listen(0, ADDRESS, resolve));
    this.#closers.push(() => {
      sockets.forEach(socket => socket.destroy());
      server.close();
    });
    return (server.address() as AddressInfo).port;
  }
}

export interface SendOptions {
  method?: string;
  path?: string;
  headers?: Record<string, string>;
  body?: string | Buffer;
  onRequest?: (request: http.ClientRequest) => void;
  /** Connections of the caller; a new one by default. */
  agent?: http.Agent;
}

/** Sends one request and reads its whole response. */
export function sendCall(
  port: number,
  options: SendOptions = {},
): Promise<CallResult> {
  return new Promise(resolve => {
    const {method, path = '/hints/reveal/1', headers, agent = false} = options;
    const request = http.request({
      ...{host: ADDRESS, port, method, path, headers, agent},
    });
    const fail = (error: Error) =>
      resolve({headers: {}, body: '', error: error.message});
    request.on('error', fail);
    request.on('response', response => {
      let body = '';
      response.on('error', fail);
      response.on('data', chunk => (body += chunk));
      response.on('end', () =>
        resolve({
          status: response.statusCode,
          headers: response.headers,
          body,
        }),
      );
    });
    options.onRequest?.(request);
    request.end(options.body);
  });
}

export function pause(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}

/** Finds a port on which nothing listens. */
export async function unusedPort(): Promise<number> {
  const server = net.createServer();
  await new Promise<void>(resolve => server.listen(0, ADDRESS, resolve));
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}

export function makeEndpoint(id: string, callersPort: number): WorkerEndpoint {
  return {
    vmId: id as VmId,
    dataCentre: DATA_CENTRE,
    service: SERVICE,
    address: ADDRESS,
    callersPort,
    leaving: false,
  };
}

function makeSnapshot({policy, capacity}: DaemonFields) {
  const routes = [
    makeRoute({method: 'ANY'}),
    makeRoute({
      name: 'purchase',
      method: 'POST',
      path: '/tokens/purchase',
      repeatable: false,
    }),
  ];
  const declarations = makeDeclarations([
    makeService({rampMs: 1, ...capacity}),
    makePolicy(policy),
    {kind: 'routes', name: 'hints', routes},
  ]);
  return createSnapshotOrThrow(
    makeVersion(1, {
      ...declarations,
      presets: declarations.presets.slice(0, 1),
    }).contents,
  );
}
