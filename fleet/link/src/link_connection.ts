import type {Clock, Timer} from '@carobseam/core.types';
import {
  createTRPCClient,
  createWSClient,
  wsLink,
  type TRPCClient,
} from '@trpc/client';
import {WebSocket} from 'ws';
import type {CountedSocket} from './link_byte_counter.js';
import {linkEncoder} from './link_encoder.js';
import {MAX_LINK_MESSAGE_BYTES} from './link_messages.js';
import type {LinkRouter} from './link_router.js';

/** Options of a `LinkConnection`. */
export interface LinkConnectionOptions {
  /** The peer's fleet endpoint, `address:port`. */
  audience: string;
  clock: Clock;
  /** Credentials for one connection. */
  createCredentials: () => string;
  onSocket: (socket: CountedSocket) => void;
  /** Called once, when the connection can no longer be used. */
  onFailed: (error: Error) => void;
}

/** Time without a received frame after which a ping is sent. */
const PING_AFTER_MS = 300;
const PONG_TIMEOUT_MS = 1500;

/** One connection to a peer; it is checked while a request is outstanding. */
export class LinkConnection {
  readonly client: TRPCClient<LinkRouter>;
  /** Monotonic time of the last start or end of a request, ms. */
  lastUsedMs: number;
  readonly #options: LinkConnectionOptions;
  readonly #closeClient: () => unknown;
  readonly #rejects = new Set<(error: Error) => void>();
  #socket?: WebSocket;
  #timer?: Timer;
  #failure?: Error;

  constructor(options: LinkConnectionOptions) {
    this.#options = options;
    this.lastUsedMs = options.clock.monotonicMs();
    const wsClient = createWSClient({
      url: `ws://${options.audience}/`,
      WebSocket: this.#webSocketClass(),
      experimental_encoder: linkEncoder,
    });
    this.#closeClient = () => wsClient.close();
    this.client = createTRPCClient<LinkRouter>({
      links: [wsLink({client: wsClient})],
    });
  }

  get isIdle(): boolean {
    return this.#rejects.size === 0;
  }

  /** Runs a request; it fails as soon as the connection does. */
  async run<Reply>(
    request: (client: TRPCClient<LinkRouter>) => Promise<Reply>,
  ): Promise<Reply> {
    if (this.#failure) {
      throw this.#failure;
    }
    let reject!: (error: Error) => void;
    const failed = new Promise<never>((_, rejectFailed) => {
      reject = rejectFailed;
    });
    this.#rejects.add(reject);
    this.#expectFrame();
    try {
      return await Promise.race([request(this.client), failed]);
    } finally {
      this.#rejects.delete(reject);
      this.lastUsedMs = this.#options.clock.monotonicMs();
      if (this.isIdle) {
        this.#timer?.cancel();
        this.#timer = undefined;
      }
    }
  }

  /** Ends the connection at once; outstanding requests fail. */
  close(reason = new Error('the connection was closed')): void {
    if (this.#failure) {
      return;
    }
    this.#failure = reason;
    this.#timer?.cancel();
    this.#rejects.forEach(reject => reject(reason));
    this.#options.onFailed(reason);
    void Promise.resolve(this.#closeClient()).catch(() => {});
    this.#socket?.terminate();
  }

  #expectFrame(): void {
    const {clock} = this.#options;
    this.#timer ??= clock.setTimer(PING_AFTER_MS, () => this.#ping());
  }

  #ping(): void {
    if (this.#socket?.readyState === WebSocket.OPEN) {
      this.#socket.ping();
    }
    this.#timer = this.#options.clock.setTimer(PONG_TIMEOUT_MS, () =>
      this.close(new Error(`no response to a ping in ${PONG_TIMEOUT_MS} ms`)),
    );
  }

  #frameReceived(): void {
    this.#timer?.cancel();
    this.#timer = undefined;
    if (!this.isIdle) {
      this.#expectFrame();
    }
  }

  #attach(socket: WebSocket): void {
    this.#socket = socket;
    if (this.#failure) {
      socket.once('error', () => {});
      socket.terminate();
      return;
    }
    socket.once('upgrade', response =>
      this.#options.onSocket(response.socket as CountedSocket),
    );
    socket.on('message', () => this.#frameReceived());
    socket.on('pong', () => this.#frameReceived());
    socket.on('error', error => this.close(error));
    socket.once('close', () => this.close());
  }

  #webSocketClass(): typeof globalThis.WebSocket {
    const {createCredentials: sign} = this.#options;
    const attach = (socket: WebSocket) => this.#attach(socket);
    class AuthenticatedWebSocket extends WebSocket {
      constructor(url: string | URL) {
        super(url, {
          headers: {authorization: sign()},
          maxPayload: MAX_LINK_MESSAGE_BYTES,
          perMessageDeflate: false,
        });
        attach(this);
      }
    }
    return AuthenticatedWebSocket as unknown as typeof globalThis.WebSocket;
  }
}
