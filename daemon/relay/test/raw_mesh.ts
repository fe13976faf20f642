import {wireHeaders} from '@carobseam/platform.adapter';
import net from 'node:net';
import {
  allocatePorts,
  call,
  createSnapshot,
  createWorkerEntry,
  FakeSource,
  respond,
  startRelay,
  startWorker,
  type FakeWorker,
} from './relay_fixtures.js';

/** A request that a raw worker received. */
export interface RawRequest {
  socket: net.Socket;
  id: string;
  /** Requests received on the connection before this one. */
  earlierRequests: number;
}

/** Handles one request by writing to its socket. */
export type RawHandler = (request: RawRequest) => void;

/** Where the raw workers are, as seen from the relay that is called. */
export type MeshLayout = 'own worker' | 'worker behind a hop' | 'two workers';

/** A mesh of relays whose workers respond with bytes that a test chooses. */
export interface RawMesh {
  port: number;
  /** Number of requests that reached a raw worker. */
  requestCount: () => number;
  /** Largest number of requests that a raw worker received on one connection. */
  mostOnOneConnection: () => number;
  /** Ends the relay beside the last worker with all its connections. */
  endLastRelay: () => void;
  /**
   * Sends a request through the first relay.
   *
   * @return status and body, or how the response was broken off.
   */
  describeCall: (
    id: string,
    path: string,
    options?: {method?: string; body?: string},
  ) => Promise<string>;
}

const RAW_WORKER_COUNTS: Record<MeshLayout, {relays: number; raw: number}> = {
  'own worker': {relays: 1, raw: 1},
  'worker behind a hop': {relays: 2, raw: 1},
  'two workers': {relays: 2, raw: 2},
};
const DEADLINE_MS = 1500;

/** Starts a mesh, runs a test with it, and stops it. */
export async function withRawMesh(
  layout: MeshLayout,
  handle: RawHandler,
  run: (mesh: RawMesh) => Promise<void>,
): Promise<void> {
  const {relays: relayCount, raw} = RAW_WORKER_COUNTS[layout];
  let requestCount = 0;
  let mostOnOneConnection = 0;
  const countAndHandle: RawHandler = request => {
    requestCount++;
    mostOnOneConnection = Math.max(
      mostOnOneConnection,
      request.earlierRequests + 1,
    );
    handle(request);
  };
  const workers: FakeWorker[] = [];
  for (let index = 0; index < relayCount; index++) {
    const host = `127.0.0.${index + 1}`;
    const isRaw = index >= relayCount - raw;
    workers.push(
      await (isRaw
        ? startRawWorker(host, countAndHandle)
        : startWorker(host, respond)),
    );
  }
  const entries = workers.map((worker, index) =>
    createWorkerEntry(worker, `i-${index}`),
  );
  const source = new FakeSource(createSnapshot(entries.slice(-raw)));
  const ports = allocatePorts();
  const relays = await Promise.all(
    workers.map(worker => startRelay(worker, ports, source)),
  );
  try {
    await run({
      port: ports[0]!,
      requestCount: () => requestCount,
      mostOnOneConnection: () => mostOnOneConnection,
      endLastRelay: () => relays.pop()!.close(),
      describeCall: (id, path, options) =>
        describeCall(ports[0]!, id, path, options),
    });
  } finally {
    relays.forEach(relay => relay.close());
    await Promise.all(workers.map(worker => worker.close()));
  }
}

async function describeCall(
  port: number,
  id: string,
  path: string,
  options: {method?: string; body?: string} = {},
): Promise<string> {
  const text = await call({
    host: '127.0.0.1',
    port,
    path,
    id,
    deadlineMs: DEADLINE_MS,
    ...options,
  }).then(
    ({status, body}) => `${status} ${body}`.trimEnd(),
    (error: NodeJS.ErrnoException) => `broken off: ${error.code}`,
  );
  // The connection to the worker becomes idle in a later turn of the event loop.
  await new Promise(resolve => setTimeout(resolve, 5));
  return text;
}

async function startRawWorker(
  host: string,
  handle: RawHandler,
): Promise<FakeWorker> {
  const sockets = new Set<net.Socket>();
  const server = net.createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => sockets.delete(socket));
    readRequests(socket, handle);
  });
  await new Promise<void>(resolve => {
    server.listen(0, host, resolve);
  });
  const {port} = server.address() as net.AddressInfo;
  return {
    address: `${host}:${port}`,
    requests: [],
    close: () =>
      new Promise(resolve => {
        sockets.forEach(socket => socket.destroy());
        server.close(() => resolve());
      }),
  };
}

const ID_PATTERN = new RegExp(`^${wireHeaders.requestId}: (.*)$`, 'im');
const LENGTH_PATTERN = /^content-length: (\d+)/im;

function readRequests(socket: net.Socket, handle: RawHandler): void {
  let earlierRequests = 0;
  let text = '';
  socket.on('data', chunk => {
    text += chunk.toString('latin1');
    for (;;) {
      const headEnd = text.indexOf('\r\n\r\n') + 4;
      const head = text.slice(0, headEnd);
      const end = headEnd + Number(LENGTH_PATTERN.exec(head)?.[1] ?? 0);
      if (headEnd < 4 || text.length < end) {
        return;
      }
      text = text.slice(end);
      const id = ID_PATTERN.exec(head)?.[1]?.trim() ?? '';
      handle({socket, id, earlierRequests: earlierRequests++});
    }
  });
}

/** Returns a signed response that echoes the id of its request. */
export function rawResponse(
  id: string,
  body: string,
  framing = `Content-Length: ${body.length}`,
): string {
  return [
    'HTTP/1.1 200 OK',
    `${wireHeaders.requestId}: ${id}`,
    `${wireHeaders.workerSignature}: s-${id}`,
    framing,
    '',
    body,
  ].join('\r\n');
}

/** Returns a response which states that the worker did not run the request. */
export function rawRefusal(status: number, id?: string): string {
  return [
    `HTTP/1.1 ${status} Refused`,
    ...(id === undefined ? [] : [`${wireHeaders.requestId}: ${id}`]),
    `${wireHeaders.notExecuted}: 1`,
    'Content-Length: 0',
    '',
    '',
  ].join('\r\n');
}
