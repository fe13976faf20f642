import {describeError} from '@carobseam/core.errors';
import {startListening} from '@carobseam/core.net';
import type {Logger} from '@carobseam/core.logger';
import type {Metrics} from '@carobseam/core.metrics';
import type {Clock, Controller} from '@carobseam/core.types';
import type {TRPCError} from '@trpc/server';
import {applyWSSHandler} from '@trpc/server/adapters/ws';
import {createServer, type IncomingMessage, type Server} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {WebSocketServer, type WebSocket} from 'ws';
import type {FleetAuthenticator} from './fleet_authenticator.js';
import {LinkByteCounter} from './link_byte_counter.js';
import {createServerEncoder} from './link_encoder.js';
import {MAX_LINK_MESSAGE_BYTES} from './link_messages.js';
import {createLinkRouter} from './link_router.js';
import type {PeerLinkHandlers} from './peer_link.js';

/** Options of a `LinkServer`. */
export interface LinkServerOptions {
  address: string;
  port: number;
  handlers: PeerLinkHandlers;
  authenticator: FleetAuthenticator;
  metrics: Metrics;
  clock: Clock;
  logger: Logger;
}

/**
 * Clients close connections that have been idle for some minutes. If a client
 * disappeared without closing, the server closes the connection after this time
 * without any traffic.
 */
const SOCKET_TIMEOUT_MS = 10 * 60_000;

/** Why a message of a peer was dropped, by tRPC error code. */
const DROP_REASONS: Partial<Record<TRPCError['code'], string>> = {
  BAD_REQUEST: 'link_invalid',
  NOT_FOUND: 'link_unknown_request',
  METHOD_NOT_SUPPORTED: 'link_unknown_request',
};

/**
 * Accepts links (persistent WebSocket connections) of authenticated peers and
 * passes their requests to the handlers.
 */
export class LinkServer implements Controller {
  readonly #options: LinkServerOptions;
  readonly #httpServer: Server;
  readonly #webSocketServer: WebSocketServer;
  readonly #byteCounter: LinkByteCounter;

  constructor(options: LinkServerOptions) {
    this.#options = options;
    this.#byteCounter = new LinkByteCounter(options);
    this.#httpServer = createServer((_req, res) => res.writeHead(404).end());
    this.#webSocketServer = new WebSocketServer({
      noServer: true,
      maxPayload: MAX_LINK_MESSAGE_BYTES,
      perMessageDeflate: false,
    });
    this.#httpServer.on('connection', socket =>
      this.#byteCounter.track(socket),
    );
    this.#httpServer.on('upgrade', (req, socket, head) =>
      this.#handleUpgrade(req, socket, head),
    );
    applyWSSHandler({
      wss: this.#webSocketServer,
      router: createLinkRouter(options.handlers),
      experimental_encoder: createServerEncoder(() =>
        this.#countDrop('link_malformed'),
      ),
      onError: ({error, path}) => this.#reportError(error, path),
    });
  }

  /** @throws CarobseamError `LISTEN_FAILED`. */
  async start(): Promise<void> {
    const {address, port} = this.#options;
    await startListening({
      server: this.#httpServer,
      listen: done => this.#httpServer.listen(port, address, done),
      endpoint: `fleet endpoint ${address}:${port}`,
      hint: 'choose a free port as fleet.port in the settings',
    });
  }

  async close(): Promise<void> {
    this.#webSocketServer.clients.forEach(client => client.terminate());
    this.#webSocketServer.close();
    this.#httpServer.closeAllConnections();
    await new Promise<void>(resolve => this.#httpServer.close(() => resolve()));
    this.#byteCounter.close();
  }

  #handleUpgrade(req: IncomingMessage, socket: Duplex, head: Buffer): void {
    const {address, port, authenticator} = this.#options;
    const audience = `${address}:${port}`;
    if (!authenticator.verifyCredentials(req.headers.authorization, audience)) {
      this.#countDrop('link_unauthenticated');
      socket.end('HTTP/1.1 401 Unauthorized\r\nConnection: close\r\n\r\n');
      return;
    }
    this.#webSocketServer.handleUpgrade(req, socket, head, client => {
      this.#monitorClient(client, socket as Socket);
      this.#webSocketServer.emit('connection', client, req);
    });
  }

  #monitorClient(client: WebSocket, socket: Socket): void {
    socket.setTimeout(SOCKET_TIMEOUT_MS, () => client.terminate());
    client.on('error', error => {
      const {code} = error as NodeJS.ErrnoException;
      const isOversized = code === 'WS_ERR_UNSUPPORTED_MESSAGE_LENGTH';
      this.#countDrop(isOversized ? 'link_oversized' : 'link_malformed');
    });
  }

  #reportError(error: TRPCError, path: string | undefined): void {
    const reason = DROP_REASONS[error.code];
    if (reason) {
      this.#countDrop(reason);
      return;
    }
    this.#options.logger.warn('link_request_failed', {
      path,
      error: describeError(error),
    });
  }

  #countDrop(reason: string): void {
    const {metrics} = this.#options;
    metrics.increment('carobseam_messages_dropped_total', {reason});
  }
}
