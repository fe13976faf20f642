import {CarobseamError, describeError} from '@carobseam/core.errors';
import type {Metrics} from '@carobseam/core.metrics';
import type {Clock, Timer} from '@carobseam/core.types';
import type {TRPCClient} from '@trpc/client';
import type {z} from 'zod';
import type {FleetAuthenticator} from './fleet_authenticator.js';
import {LinkByteCounter} from './link_byte_counter.js';
import {LinkConnection} from './link_connection.js';
import {
  announceReplySchema,
  peerStateSchema,
  pullReplySchema,
  pushReplySchema,
  vmListReplySchema,
  type AnnounceReply,
  type AnnounceRequest,
  type NotifyRequest,
  type PeerState,
  type PeerStateRequest,
  type PullReply,
  type PullRequest,
  type PushReply,
  type PushRequest,
  type VmListReply,
  type VmListRequest,
} from './link_messages.js';
import type {LinkRouter} from './link_router.js';
import type {PeerEndpoint, PeerLink} from './peer_link.js';

/** Options of a `LinkClient`. */
export interface LinkClientOptions {
  authenticator: FleetAuthenticator;
  metrics: Metrics;
  clock: Clock;
  /** Called after each reply of a peer. */
  onReply?: () => void;
  /**
   * Timeout of one request to a peer that responds to pings, ms. A large
   * transfer may take longer than the ping timeout.
   */
  requestTimeoutMs?: number;
}

const DEFAULT_REQUEST_TIMEOUT_MS = 10_000;
const IDLE_TIMEOUT_MS = 3 * 60_000;
const IDLE_CHECK_INTERVAL_MS = 60_000;

/**
 * Sends requests to peers. Keeps one persistent connection (a link) to each
 * peer in use.
 */
export class LinkClient implements PeerLink {
  readonly #options: LinkClientOptions;
  readonly #connections = new Map<string, LinkConnection>();
  readonly #byteCounter: LinkByteCounter;
  #idleCheckTimer?: Timer;

  constructor(options: LinkClientOptions) {
    this.#options = options;
    this.#byteCounter = new LinkByteCounter(options);
  }

  push(peer: PeerEndpoint, request: PushRequest): Promise<PushReply> {
    return this.#sendRequest(peer, pushReplySchema, (client, signal) =>
      client.push.mutate(request, {signal}),
    );
  }

  pull(peer: PeerEndpoint, request: PullRequest): Promise<PullReply> {
    return this.#sendRequest(peer, pullReplySchema, (client, signal) =>
      client.pull.query(request, {signal}),
    );
  }

  announce(
    peer: PeerEndpoint,
    request: AnnounceRequest,
  ): Promise<AnnounceReply> {
    return this.#sendRequest(peer, announceReplySchema, (client, signal) =>
      client.announce.mutate(request, {signal}),
    );
  }

  sendVmList(peer: PeerEndpoint, request: VmListRequest): Promise<VmListReply> {
    return this.#sendRequest(peer, vmListReplySchema, (client, signal) =>
      client.sendVmList.mutate(request, {signal}),
    );
  }

  async notify(peer: PeerEndpoint, request: NotifyRequest): Promise<void> {
    await this.#sendRequest(peer, undefined, (client, signal) =>
      client.notify.mutate(request, {signal}),
    );
  }

  getState(peer: PeerEndpoint, request: PeerStateRequest): Promise<PeerState> {
    return this.#sendRequest(peer, peerStateSchema, (client, signal) =>
      client.getState.query(request, {signal}),
    );
  }

  close(): void {
    this.#idleCheckTimer?.cancel();
    [...this.#connections.values()].forEach(connection => connection.close());
    this.#byteCounter.close();
  }

  async #sendRequest<Schema extends z.ZodType>(
    peer: PeerEndpoint,
    schema: Schema | undefined,
    request: (
      client: TRPCClient<LinkRouter>,
      signal: AbortSignal,
    ) => Promise<unknown>,
  ): Promise<z.output<Schema>> {
    const endpoint = `${peer.address}:${peer.fleetPort}`;
    const {requestTimeoutMs = DEFAULT_REQUEST_TIMEOUT_MS} = this.#options;
    const signal = AbortSignal.timeout(requestTimeoutMs);
    try {
      const connection = this.#getOrCreateConnection(endpoint);
      const reply = await connection.run(client => request(client, signal));
      this.#options.onReply?.();
      return this.#validateReply(schema, reply);
    } catch (error) {
      throw new CarobseamError({
        code: 'LINK_FAILED',
        message: `request to peer ${endpoint} failed: ${describeError(error)}`,
        hint: 'check that the peer runs and has the same fleet keys',
        cause: error,
      });
    }
  }

  #validateReply<Schema extends z.ZodType>(
    schema: Schema | undefined,
    reply: unknown,
  ): z.output<Schema> {
    const result = schema?.safeParse(reply);
    if (result && !result.success) {
      this.#options.metrics.increment('carobseam_messages_dropped_total', {
        reason: 'link_invalid_reply',
      });
      throw result.error;
    }
    return result?.data as z.output<Schema>;
  }

  #getOrCreateConnection(endpoint: string): LinkConnection {
    const existing = this.#connections.get(endpoint);
    if (existing) {
      return existing;
    }
    const {authenticator, clock} = this.#options;
    const connection: LinkConnection = new LinkConnection({
      audience: endpoint,
      clock,
      createCredentials: () => authenticator.createCredentials(endpoint),
      onSocket: socket => this.#byteCounter.track(socket),
      onFailed: () => this.#removeConnection(endpoint, connection),
    });
    this.#connections.set(endpoint, connection);
    this.#scheduleIdleCheck();
    return connection;
  }

  #removeConnection(endpoint: string, connection: LinkConnection): void {
    if (this.#connections.get(endpoint) === connection) {
      this.#connections.delete(endpoint);
    }
  }

  #scheduleIdleCheck(): void {
    this.#idleCheckTimer ??= this.#options.clock.setTimer(
      IDLE_CHECK_INTERVAL_MS,
      () => {
        this.#idleCheckTimer = undefined;
        this.#closeIdleConnections();
        if (this.#connections.size > 0) {
          this.#scheduleIdleCheck();
        }
      },
    );
  }

  #closeIdleConnections(): void {
    const nowMs = this.#options.clock.monotonicMs();
    for (const connection of [...this.#connections.values()]) {
      const idleMs = nowMs - connection.lastUsedMs;
      if (connection.isIdle && idleMs >= IDLE_TIMEOUT_MS) {
        connection.close();
      }
    }
  }
}
