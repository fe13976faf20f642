import {startListening} from '@carobseam/core.net';
import type {Controller} from '@carobseam/core.types';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {createSocket, type Socket as DatagramSocket} from 'node:dgram';
import type {Socket} from 'node:net';

/** Options of an `UpstreamStandIn`. */
export interface UpstreamStandInOptions {
  name: string;
  address: string;
  port: number;
  /** Requests that run at once; more are refused with 503. */
  slots: number;
  /** Connections that are accepted at once. */
  connections: number;
  /** Time that the first request of a connection waits, ms. */
  newConnectionMs: number;
  /** Time that a request runs, ms. */
  workMs: number;
  /** What happens to requests over the slots. */
  overCapacity: 'shed' | 'queue';
  /** Port of an execution ledger on loopback. */
  ledgerPort?: number;
}

/** Headers by which tests control one request. */
const WORK_HEADER = 'x-stand-in-work-ms';
const FAULT_HEADER = 'x-stand-in-fault';
const REQUEST_ID_HEADER = 'x-request-id';

/**
 * Upstream worker for tests and the demo. It uses node:http, because the
 * time that restify adds would hide the time that a daemon adds. It counts
 * the executions of each idempotency key or request id.
 */
export class UpstreamStandIn implements Controller {
  readonly #options: UpstreamStandInOptions;
  readonly #server: Server;
  readonly #executions = new Map<string, number>();
  readonly #newConnections = new WeakSet<Socket>();
  readonly #waiting: Array<() => void> = [];
  readonly #ledger?: DatagramSocket;
  #running = 0;
  #shedCalls = 0;

  constructor(options: UpstreamStandInOptions) {
    this.#options = options;
    this.#ledger = options.ledgerPort ? createSocket('udp4') : undefined;
    this.#server = createServer(
      (req, res) => void this.#handle(req, res).catch(() => res.destroy()),
    );
    this.#server.maxConnections = options.connections;
    this.#server.on('connection', socket => this.#newConnections.add(socket));
  }

  /** @throws CarobseamError `LISTEN_FAILED`. */
  async start(): Promise<void> {
    const {address, port} = this.#options;
    await startListening({
      server: this.#server,
      listen: done => this.#server.listen(port, address, done),
      endpoint: `${address}:${port}`,
      hint: 'choose a free port with --port',
    });
  }

  /** Waits for the requests in flight. */
  async close(): Promise<void> {
    const closed = new Promise<void>(resolve =>
      this.#server.close(() => resolve()),
    );
    this.#server.closeIdleConnections();
    await closed;
    this.#ledger?.close();
  }

  /** Executions by idempotency key or request id. */
  executions(): ReadonlyMap<string, number> {
    return this.#executions;
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (req.url === '/stand-in/executions') {
      sendJson(res, 200, {
        executions: Object.fromEntries(this.#executions),
        shedCalls: this.#shedCalls,
      });
      return;
    }
    if (this.#running >= this.#options.slots) {
      if (this.#options.overCapacity === 'shed') {
        this.#shedCalls++;
        sendJson(res, 503, {error: 'no free slot'});
        return;
      }
      await new Promise<void>(resolve => this.#waiting.push(resolve));
    }
    this.#running++;
    try {
      await this.#run(req, res);
    } finally {
      this.#running--;
      this.#waiting.shift()?.();
    }
  }

  async #run(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (this.#newConnections.delete(req.socket)) {
      await delay(this.#options.newConnectionMs);
    }
    const sizeBytes = await drain(req);
    this.#recordExecution(req);
    const fault = FAULTS[String(req.headers[FAULT_HEADER])];
    if (fault) {
      fault(res);
      return;
    }
    await delay(Number(req.headers[WORK_HEADER] ?? this.#options.workMs));
    sendJson(res, 200, {
      worker: this.#options.name,
      requestId: req.headers[REQUEST_ID_HEADER],
      path: req.url,
      bodyBytes: sizeBytes,
    });
  }

  #recordExecution(req: IncomingMessage): void {
    const {'idempotency-key': key, [REQUEST_ID_HEADER]: id} = req.headers;
    const executionId = key ?? id;
    if (typeof executionId === 'string') {
      const count = this.#executions.get(executionId) ?? 0;
      this.#executions.set(executionId, count + 1);
      this.#report(executionId);
    }
  }

  #report(executionId: string): void {
    const {ledgerPort} = this.#options;
    if (ledgerPort) {
      this.#ledger?.send(executionId, ledgerPort, '127.0.0.1');
    }
  }
}

/** Faults that one request can ask for. */
const FAULTS: Record<string, (res: ServerResponse) => void> = {
  crash: () => process.exit(1),
  hang: () => {},
  truncate: res => {
    res.writeHead(200, {'content-length': 100});
    res.write('partial', () => res.destroy());
  },
};

function sendJson(res: ServerResponse, status: number, value: object): void {
  const body = JSON.stringify(value);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  res.end(body);
}

async function drain(req: IncomingMessage): Promise<number> {
  let sizeBytes = 0;
  for await (const chunk of req) {
    sizeBytes += (chunk as Buffer).length;
  }
  return sizeBytes;
}

async function delay(durationMs: number): Promise<void> {
  if (durationMs > 0) {
    await new Promise(resolve => setTimeout(resolve, durationMs));
  }
}
