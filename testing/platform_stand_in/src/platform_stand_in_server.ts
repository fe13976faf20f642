import {startListening} from '@carobseam/core.net';
import type {Controller} from '@carobseam/core.types';
import {listedVmSchema} from '@carobseam/config.published_reader';
import type {AddressInfo, Socket} from 'node:net';
import restify, {type Request, type Response, type Server} from 'restify';
import {z} from 'zod';
import type {InMemoryPlatform} from './in_memory_platform.js';

const faultsSchema = z
  .strictObject({
    down: z.boolean(),
    stale: z.boolean(),
    lagMs: z.number().nonnegative(),
  })
  .partial();

const vmsSchema = z.strictObject({vms: z.array(listedVmSchema)});

const ADMISSION_STATUS = {down: 503, limited: 429} as const;
const DEFAULT_WAIT_MS = 30_000;
const MAX_BODY_BYTES = 2_000_000;

/** Options of a `StandInServer`. */
export interface PlatformStandInServerOptions {
  state: InMemoryPlatform;
  address: string;
  port: number;
}

/**
 * Serves a `PlatformState` over HTTP, for tests and the demo. Readers use
 * `/v1`; tests publish and switch faults below `/stand-in`.
 */
export class PlatformStandInServer implements Controller {
  readonly #options: PlatformStandInServerOptions;
  readonly #state: InMemoryPlatform;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #closedSocketBytes = 0;

  constructor(options: PlatformStandInServerOptions) {
    this.#options = options;
    this.#state = options.state;
    this.#server = restify.createServer({name: 'platform-stand-in'});
    this.#server.server.on('connection', socket => this.#track(socket));
    this.#addReaderRoutes();
    this.#addTestRoutes();
  }

  /** @throws CarobseamError `LISTEN_FAILED`. */
  async start(): Promise<void> {
    const {address, port} = this.#options;
    await startListening({
      server: this.#server.server,
      listen: done => this.#server.listen(port, address, done),
      endpoint: `${address}:${port}`,
      hint: 'choose a free port with --port',
    });
  }

  /** Port on which the server listens. */
  get port(): number {
    return (this.#server.server.address() as AddressInfo).port;
  }

  async close(): Promise<void> {
    this.#state.close();
    this.#server.server.closeAllConnections();
    await new Promise<void>(resolve => this.#server.close(() => resolve()));
  }

  #track(socket: Socket): void {
    this.#sockets.add(socket);
    socket.once('close', () => {
      this.#sockets.delete(socket);
      this.#closedSocketBytes += socket.bytesWritten;
    });
  }

  #bytesSent(): number {
    const open = [...this.#sockets].map(socket => socket.bytesWritten);
    return open.reduce((sum, bytes) => sum + bytes, this.#closedSocketBytes);
  }

  #addReaderRoutes(): void {
    this.#server.use(restify.plugins.queryParser());
    this.#server.get('/v1/kv/*', async (req: Request, res: Response) => {
      const key = keyOf(req, '/v1/kv/');
      const wait = (index: number, waitMs: number) =>
        this.#state.waitForChange(key, index, waitMs);
      if (!(await this.#admit(req, res, wait))) {
        return;
      }
      const value = this.#state.get(key);
      if (!value) {
        res.send(404);
        return;
      }
      res.header('x-index', value.index);
      res.sendRaw(200, Buffer.from(value.bytes), {
        'content-type': 'application/octet-stream',
      });
    });
    this.#server.get('/v1/vms', async (req: Request, res: Response) => {
      const wait = (index: number, waitMs: number) =>
        this.#state.waitForVms(index, waitMs);
      if (!(await this.#admit(req, res, wait))) {
        return;
      }
      const list = this.#state.listVms();
      res.header('x-index', list.index);
      res.send(200, {vms: list.vms});
    });
  }

  #addTestRoutes(): void {
    const readBody = bodyReader();
    this.#server.put('/stand-in/kv/*', readBody, async (req, res) => {
      this.#state.put(keyOf(req, '/stand-in/kv/'), req.body as Buffer);
      res.send(204);
    });
    this.#server.put('/stand-in/vms', readBody, async (req, res) => {
      this.#state.putVms(vmsSchema.parse(parseBody(req)).vms);
      res.send(204);
    });
    this.#server.put('/stand-in/faults', readBody, async (req, res) => {
      this.#state.setFaults(faultsSchema.parse(parseBody(req)));
      res.send(204);
    });
    this.#server.get(
      '/stand-in/stats',
      async (_req: Request, res: Response) => {
        res.send(200, {
          ...this.#state.getStats(),
          bytesSent: this.#bytesSent(),
        });
      },
    );
    this.#server.del(
      '/stand-in/stats',
      async (_req: Request, res: Response) => {
        this.#state.resetStats();
        res.send(204);
      },
    );
  }

  async #admit(
    req: Request,
    res: Response,
    wait: (afterIndex: number, waitMs: number) => Promise<void>,
  ): Promise<boolean> {
    const admission = this.#state.admit();
    if (admission !== 'admitted') {
      res.header('retry-after', 1);
      res.send(ADMISSION_STATUS[admission]);
      return false;
    }
    const {index, wait_ms: waitMs} = req.query as Record<string, string>;
    if (index !== undefined) {
      await wait(Number(index), Number(waitMs ?? DEFAULT_WAIT_MS));
    }
    if (this.#state.isDown()) {
      res.send(ADMISSION_STATUS.down);
      return false;
    }
    return true;
  }
}

function keyOf(req: Request, prefix: string): string {
  return decodeURIComponent(req.path().slice(prefix.length));
}

function parseBody(req: Request): unknown {
  return JSON.parse((req.body as Buffer).toString('utf8'));
}

function bodyReader() {
  return async (req: Request): Promise<void> => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    for await (const chunk of req) {
      sizeBytes += chunk.length;
      if (sizeBytes > MAX_BODY_BYTES) {
        throw new RangeError('the body is too large');
      }
      chunks.push(chunk as Buffer);
    }
    req.body = Buffer.concat(chunks);
  };
}
