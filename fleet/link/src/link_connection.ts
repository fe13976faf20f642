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
  /** Creates the credentials for one connection. */
  createCredentials: () => string;
  onSocket: (socket: CountedSocket) => void;
  /** Called once when the connection can no longer be used. */
  onFailed: (error: Error) => void;
}

/** Time without a received frame after which a ping is sent. */
const PING_AFTER_SILENCE_MS = 300;
const PONG_TIMEOUT_MS = 1500;

/**
 * A WebSocket connection to one peer. While requests are in flight, pings check
 * that the peer is reachable.
 */
export class LinkConnection {
  readonly client: TRPCClient<LinkRouter>;
  /** Monotonic time at which a request last started or ended, ms. */
  lastUsedMs: number;
  readonly #options: LinkConnectionOptions;
  readonly #closeClient: () => unknown;
  readonly #rejectCallbacks = new Set<(error: Error) => void>();
  #socket?: WebSocket;
  #timer?: Timer;
  #failure?: Error;

  constructor(options: LinkConnectionOptions) {
    this.#options = options;
    this.lastUsedMs = options.clock.monotonicMs();
    const wsClient = createWSClient({
      url: `ws://${options.audience}/`,
      WebSocket: this.#createWebSocketClass(),
      experimental_encoder: linkEncoder,
    });
    this.#closeClient = () => wsClient.close();
    this.client = createTRPCClient<LinkRouter>({
      links: [wsLink({client: wsClient})],
    });
  }

  /** Whether no request is in flight. */
  get isIdle(): boolean {
    return this.#rejectCallbacks.size === 0;
  }

  /** Runs a request. It fails as soon as the connection fails. */
  async run<Reply>(
    request: (client: TRPCClient<LinkRouter>) => Promise<Reply>,
  ): Promise<Reply> {
    if (this.#failure) {
      throw this.#failure;
    }
    let reject!: (error: Error) => void;
    const connectionFailure = new Promise<never>((_, rejectFailure) => {
      reject = rejectFailure;
    });
    this.#rejectCallbacks.add(reject);
    this.#startPingTimer();
    try {
      return await Promise.race([request(this.client), connectionFailure]);
    } finally {
      this.#rejectCallbacks.delete(reject);
      this.lastUsedMs = this.#options.clock.monotonicMs();
      if (this.isIdle) {
        this.#timer?.cancel();
        this.#timer = undefined;
      }
    }
  }

  /** Closes the connection immediately. Requests in flight fail. */
  close(reason = new Error('the connection was closed')): void {
    if (this.#failure) {
      return;
    }
    this.#failure = reason;
    this.#timer?.cancel();
    this.#rejectCallbacks.forEach(reject => reject(reason));
    this.#options.onFailed(reason);
    void Promise.resolve(this.#closeClient()).catch(() => {});
    this.#socket?.terminate();
  }

  #startPingTimer(): void {
    const {clock} = this.#options;
    this.#timer ??= clock.setTimer(PING_AFTER_SILENCE_MS, () =>
      this.#sendPing(),
    );
  }

  #sendPing(): void {
    if (this.#socket?.readyState === WebSocket.OPEN) {
      this.#socket.ping();
    }
    this.#timer = this.#options.clock.setTimer(PONG_TIMEOUT_MS, () =>
      this.close(
        new Error(`no response to a ping within ${PONG_TIMEOUT_MS} ms`),
      ),
    );
  }

  #handleFrame(): void {
    this.#timer?.cancel();
    this.#timer = undefined;
    if (!this.isIdle) {
      this.#startPingTimer();
    }
  }

  #attachSocket(socket: WebSocket): void {
    this.#socket = socket;
    if (this.#failure) {
      socket.once('error', () => {});
      socket.terminate();
      return;
    }
    socket.once('upgrade', response =>
      this.#options.onSocket(response.socket as CountedSocket),
    );
    socket.on('message', () => this.#handleFrame());
    socket.on('pong', () => this.#handleFrame());
    socket.on('error', error => this.close(error));
    socket.once('close', () => this.close());
  }

  #createWebSocketClass(): typeof globalThis.WebSocket {
    const {createCredentials} = this.#options;
    const attachSocket = (socket: WebSocket) => this.#attachSocket(socket);
    class AuthenticatedWebSocket extends WebSocket {
      constructor(url: string | URL) {
        super(url, {
          headers: {authorization: createCredentials()},
          maxPayload: MAX_LINK_MESSAGE_BYTES,
          perMessageDeflate: false,
        });
        attachSocket(this);
      }
    }
    return AuthenticatedWebSocket as unknown as typeof globalThis.WebSocket;
  }
}
