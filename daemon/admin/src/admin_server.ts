import type {DaemonBlackboard} from '@carobseam/core.blackboard';
import {startListening} from '@carobseam/core.net';
import type {Metrics} from '@carobseam/core.metrics';
import type {Controller, DataCentreName, VmId} from '@carobseam/core.types';
import type {WorkerExplainer} from '@carobseam/calls.routing';
import type {AddressInfo} from 'node:net';
import restify, {type Request, type Response, type Server} from 'restify';
import {explainCall} from './explain_call.js';
import {readStatus} from './read_status.js';
import {EndpointExplainer} from './endpoint_explainer.js';

/** Options of an `AdminServer`. */
export interface AdminServerOptions {
  vmId: VmId;
  dataCentre: DataCentreName;
  /** Number of daemons per data centre that read the platform. */
  readersPerDataCentre: number;
  address: string;
  /** Port to listen on; 0 selects a free port. */
  port: number;
  blackboard: DaemonBlackboard;
  metrics: Metrics;
  /** Starts a graceful shutdown. */
  drain: () => void;
  /** Explains the workers; by default an `EndpointExplainer`. */
  workers?: WorkerExplainer;
}

const METHOD_PATTERN = /^[A-Z]{1,16}$/;

/**
 * HTTP server for metrics, health checks and operators' commands on the admin
 * port, which is separate from the port for calls and has no authentication.
 */
export class AdminServer implements Controller {
  readonly #options: AdminServerOptions;
  readonly #server: Server;
  readonly #workers: WorkerExplainer;

  constructor(options: AdminServerOptions) {
    this.#options = options;
    this.#workers = options.workers ?? new EndpointExplainer(options);
    this.#server = restify.createServer({name: 'carobseam'});
    this.#addHealthRoutes();
    this.#addOperatorRoutes();
  }

  /**
   * Starts to listen on the admin port.
   *
   * @throws CarobseamError `LISTEN_FAILED`.
   */
  async start(): Promise<void> {
    const {address, port} = this.#options;
    await startListening({
      server: this.#server.server,
      listen: done => this.#server.listen(port, address, done),
      endpoint: `admin endpoint ${address}:${port}`,
      hint: 'choose a free port as admin.port in the settings',
    });
  }

  /** Port on which the server listens. */
  get port(): number {
    return (this.#server.server.address() as AddressInfo).port;
  }

  async close(): Promise<void> {
    this.#server.server.closeAllConnections();
    await new Promise<void>(resolve => this.#server.close(() => resolve()));
  }

  #addHealthRoutes(): void {
    const {metrics, blackboard} = this.#options;
    this.#server.get('/metrics', async (_req: Request, res: Response) => {
      const {contentType, body} = await metrics.expose();
      res.sendRaw(200, body, {'content-type': contentType});
    });
    this.#server.get('/healthz', async (_req: Request, res: Response) => {
      res.send(200, {healthy: true});
    });
    this.#server.get('/readyz', async (_req: Request, res: Response) => {
      const lifecycle = blackboard.read('lifecycle');
      const ready = lifecycle === 'serving';
      res.send(ready ? 200 : 503, {ready, lifecycle});
    });
  }

  #addOperatorRoutes(): void {
    this.#server.get('/status', async (_req: Request, res: Response) => {
      res.send(200, readStatus(this.#options));
    });
    this.#server.get('/explain', async (req: Request, res: Response) => {
      this.#explain(req, res);
    });
    this.#server.post('/drain', async (_req: Request, res: Response) => {
      res.send(202, {draining: true});
      this.#options.drain();
    });
  }

  #explain(req: Request, res: Response): void {
    const query = new URLSearchParams(req.getQuery());
    const method = query.get('method') ?? '';
    const path = query.get('path') ?? '';
    if (!METHOD_PATTERN.test(method) || !path.startsWith('/')) {
      res.send(400, {
        error: 'method or path is missing or malformed',
        hint: 'use /explain?method=GET&path=/...',
      });
      return;
    }
    const {vmId, blackboard} = this.#options;
    const workers = this.#workers;
    res.send(200, explainCall({vmId, method, path, blackboard, workers}));
  }
}
