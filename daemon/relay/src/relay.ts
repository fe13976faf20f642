import {WorkerLoads} from '@carobseam/calls.placement';
import {
  CallerDeadlineTracker,
  InboundHandler,
  OutboundHandler,
  PeerHealth,
  PeerPools,
  WorkerGate,
  type PeerChange,
} from '@carobseam/calls.relay';
import {ServiceRetryBudgets} from '@carobseam/calls.retries';
import {
  MeshState,
  vmAddressOf,
  type MeshSource,
  type MeshStateChange,
  type MeshWorker,
} from '@carobseam/config.mesh';
import type {Metrics} from '@carobseam/core.metrics';
import {splitAddress} from '@carobseam/core.net';
import type {Clock, RandomSource, Timer} from '@carobseam/core.types';
import {
  decodeFeedRequest,
  FEED_PATH,
  FeedClient,
  ReaderFollower,
  SourceFollower,
  ChangeFeed,
} from '@carobseam/fleet.follower';
import type {RelaySettings} from '@carobseam/platform.adapter';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {RateLimitedLog} from './rate_limited_log.js';
import {hasHighBandwidthLink} from './has_high_bandwidth_link.js';
import {listen} from './listen.js';
import {RequestRecorder} from './request_recorder.js';

const ENOUGH_NEIGHBOURS = 6; // with a third of them turned away, one of two asked knows more nine times in ten
const REMOVAL_GRACE_MS = 2200; // entries of living workers are back within about 2 s
const WORKER_CONNECT_TIMEOUT_MS = 500; // the worker is on the same VM
const WORKER_IDLE_TTL_MS = 4000; // workers of the users' sheets close idle ones after 10 s
const WORKER_MAX_IDLE = 40; // a third of the connections that a worker accepts
const DEFAULT_IDLE_MS = 60_000; // until the configuration states it
const IDLE_MARGIN = 1.25; // callers use a connection up to four fifths of the limit
const HOP_IDLE_MS = 20_000; // above the time for which peers keep idle connections
const LEAVE_MS = 2600; // two missed questions for readiness, one a second
const REFUSE_MS = 3000; // callers have had three questions of the platform to go elsewhere
const LAST_MOMENT_MS = 400; // left before SIGKILL for the end itself
const ANSWER_MS = 150; // for the last answers on their way through two relays
const LEAVE_CHECK_MS = 20; // how late an idle relay notices that it may end
const HOUSEKEEPING_MS = 1000; // idle connections outlive their time by no more

const VM_EVENTS: Record<PeerChange, string> = {
  down: 'vm_lost',
  up: 'vm_regained',
  left: 'vm_left',
};

/** Options of `Relay`. */
export interface RelayOptions {
  settings: RelaySettings;
  source: MeshSource;
  clock: Clock;
  random: RandomSource;
  log: RateLimitedLog;
  metrics: Metrics;
}

/** The process beside one worker: it serves callers, peers and the platform. */
export class Relay {
  readonly #options: RelayOptions;
  readonly #state: MeshState;
  readonly #loads: WorkerLoads;
  readonly #peers: PeerHealth;
  readonly #pools: PeerPools;
  readonly #gate: WorkerGate;
  readonly #feed: ChangeFeed;
  readonly #feedClient = new FeedClient();
  readonly #readers: ReaderFollower;
  readonly #follower: SourceFollower;
  readonly #outbound: OutboundHandler;
  readonly #inbound: InboundHandler;
  readonly #servers: Server[] = [];
  #callerServer?: Server;
  #housekeeping?: Timer;
  #isLeaving = false;
  #isRefusing = false;
  #endsAtMs = Infinity;

  constructor(options: RelayOptions) {
    const {settings, clock, random, log, metrics} = options;
    const recorder = new RequestRecorder(log, metrics);
    const isLeaving = () => this.#isLeaving;
    const isRefusing = () => this.#isRefusing;
    const endsAtMs = () => this.#endsAtMs;
    this.#options = options;
    this.#state = new MeshState({
      clock,
      removalGraceMs: REMOVAL_GRACE_MS,
      onChange: change => this.#stateChanged(change),
      onApplied: () => this.#stateApplied(),
    });
    this.#feed = new ChangeFeed({clock, random, state: this.#state});
    this.#loads = new WorkerLoads(clock);
    const inboundPort = splitAddress(settings.inboundAddress).port;
    this.#pools = new PeerPools(clock, inboundPort);
    this.#peers = new PeerHealth({
      clock,
      port: inboundPort,
      onChange: (vmAddress, change) => this.#vmChanged(vmAddress, change),
    });
    this.#gate = new WorkerGate({
      clock,
      workerAddress: settings.workerAddress,
      connectTimeoutMs: WORKER_CONNECT_TIMEOUT_MS,
      idleTtlMs: WORKER_IDLE_TTL_MS,
      maxIdle: WORKER_MAX_IDLE,
      drainMs: settings.drainMs,
      isGone: id => this.#state.isGone(id),
      onConnection: () =>
        metrics.increment('carobseam_relay_worker_connections_total'),
    });
    const fetchFeed = this.#feedClient.fetch.bind(this.#feedClient);
    this.#readers = new ReaderFollower({
      clock,
      state: this.#state,
      logger: log.logger,
      fetchFeed,
      canBeReader: hasHighBandwidthLink(settings),
      ownAddress: settings.controlAddress,
      peerAddresses: () => this.#neighbourAddresses(),
    });
    this.#follower = new SourceFollower({
      clock,
      random,
      source: options.source,
      state: this.#state,
      logger: log.logger,
      peerAddresses: () => this.#peerAddresses(),
      fetchFeed,
      readers: this.#readers,
      hasLowBandwidthLink: !hasHighBandwidthLink(settings),
      onContact: () => this.#feed.recordSourceContact(),
      onCall: outcome =>
        metrics.increment('carobseam_relay_store_calls_total', {outcome}),
    });
    this.#inbound = new InboundHandler({
      clock,
      workerGate: this.#gate,
      log: recorder,
      isDraining: isLeaving,
      isRefusingNewRequests: isRefusing,
      shutdownDeadlineMs: endsAtMs,
    });
    this.#outbound = new OutboundHandler({
      clock,
      random,
      state: this.#state,
      workerLoads: this.#loads,
      peerHealth: this.#peers,
      peerPools: this.#pools,
      workerGate: this.#gate,
      callerDeadlines: new CallerDeadlineTracker(clock),
      log: recorder,
      dataCentre: settings.dataCentre,
      service: settings.service,
      workerAddress: settings.workerAddress,
      retryBudgets: new ServiceRetryBudgets({
        clock,
        ratio: settings.retryBudgetRatio,
        slack: settings.retryBudgetSlack,
        relayCount: () => this.#relayCount(),
      }),
      isDraining: isLeaving,
      isRefusingNewRequests: isRefusing,
      shutdownDeadlineMs: endsAtMs,
    });
  }

  /** @throws CarobseamError LISTEN_FAILED. */
  async start(): Promise<void> {
    const {settings} = this.#options;
    void this.#follower.run();
    this.#readers.start();
    const handlers: Array<
      [string, (q: IncomingMessage, s: ServerResponse) => void]
    > = [
      [settings.readyAddress, (q, s) => this.#answerReady(q, s)],
      [settings.controlAddress, (q, s) => void this.#answerPeer(q, s)],
      [
        `${settings.vmAddress}:${settings.metricsPort}`,
        (q, s) => void this.#answerMetrics(q, s),
      ],
    ];
    for (const [address, handler] of handlers) {
      this.#servers.push(await listen(address, handler));
    }
    const inbound = await listen(settings.inboundAddress, (q, s) =>
      this.#inbound.handle(q, s),
    );
    inbound.keepAliveTimeout = HOP_IDLE_MS;
    this.#callerServer = await listen(settings.outboundAddress, (q, s) =>
      this.#outbound.handle(q, s),
    );
    this.#callerServer.keepAliveTimeout = DEFAULT_IDLE_MS;
    this.#servers.push(inbound, this.#callerServer);
    this.#scheduleHousekeeping();
  }

  /**
   * Ends the relay without losing a request: it says that it is not ready,
   * serves what still comes, and resolves once callers have gone elsewhere or
   * the time that the platform grants is over.
   */
  async drain(): Promise<void> {
    const {clock, settings} = this.#options;
    this.#isLeaving = true;
    const startMs = clock.monotonicMs();
    const latestMs = settings.graceS * 1000 - LAST_MOMENT_MS;
    this.#endsAtMs = startMs + latestMs - ANSWER_MS;
    for (;;) {
      const elapsedMs = clock.monotonicMs() - startMs;
      this.#isRefusing = elapsedMs >= REFUSE_MS;
      const isIdle =
        this.#outbound.activeCount === 0 && this.#inbound.activeCount === 0;
      if (elapsedMs >= LEAVE_MS && isIdle) {
        return;
      }
      if (elapsedMs >= latestMs) {
        this.#outbound.abortAll();
        return;
      }
      await new Promise<void>(resolve => {
        clock.setTimer(LEAVE_CHECK_MS, resolve);
      });
    }
  }

  close(): void {
    this.#follower.close();
    this.#readers.close();
    this.#feedClient.close();
    this.#housekeeping?.cancel();
    this.#peers.close();
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
    this.#pools.close();
    this.#gate.close();
  }

  #stateApplied(): void {
    const {workerAddress} = this.#options.settings;
    this.#gate.setWorker(this.#state.workerAt(workerAddress));
    this.#feed.notifyStateChanged();
  }

  #stateChanged(change: MeshStateChange): void {
    const {log, metrics} = this.#options;
    const revision = this.#state.revision;
    if (change.kind === 'config') {
      metrics.set('carobseam_relay_config_version', change.version);
      log.logger.info('config_in_force', {version: change.version, revision});
      this.#applyLimits();
    } else if (change.kind === 'worker') {
      const {worker} = change;
      log.logger.info('worker_seen', {
        worker: worker.id,
        service: worker.service,
        dataCentre: worker.dataCentre,
        isLeaving: worker.isLeaving,
        coldRemainingMs: worker.coldRemainingMs,
        revision,
      });
      this.#loads.clearAddressStale(worker.id);
    } else {
      log.logger.info(
        change.kind === 'workerRemoved' ? 'worker_removed' : 'removal_held',
        {worker: change.id, revision},
      );
      if (change.kind === 'workerRemoved') {
        this.#loads.remove(change.id);
      }
    }
  }

  #applyLimits(): void {
    const limits = this.#state.config?.limits;
    if (!this.#callerServer || !limits) {
      return;
    }
    // Never shorter than before: callers count on the limit they last saw.
    this.#callerServer.keepAliveTimeout = Math.max(
      this.#callerServer.keepAliveTimeout,
      limits.idleTimeoutMs * IDLE_MARGIN,
    );
  }

  #vmChanged(vmAddress: string, change: PeerChange): void {
    const {log, metrics} = this.#options;
    metrics.set('carobseam_relay_vms_down', this.#peers.downCount);
    log.logger.info(VM_EVENTS[change], {vmAddress});
  }

  /** Peers to ask while the source is away; near ones where there are many. */
  #peerAddresses(): string[] {
    const {settings} = this.#options;
    const neighbours = this.#neighbourAddresses();
    return neighbours.length >= ENOUGH_NEIGHBOURS
      ? neighbours
      : this.#controlAddresses(this.#state.workers(), settings.seedAddresses);
  }

  /** Control addresses of the other relays of this data centre. */
  #neighbourAddresses(): string[] {
    const {dataCentre} = this.#options.settings;
    const workers = [...this.#state.workers()];
    return this.#controlAddresses(
      workers.filter(worker => worker.dataCentre === dataCentre),
    );
  }

  /** Control addresses of the relays beside workers, without this one's. */
  #controlAddresses(
    workers: Iterable<MeshWorker>,
    further: readonly string[] = [],
  ): string[] {
    const {controlAddress} = this.#options.settings;
    const {port} = splitAddress(controlAddress);
    const addresses = new Set(further);
    for (const worker of workers) {
      addresses.add(`${vmAddressOf(worker)}:${port}`);
    }
    addresses.delete(controlAddress);
    return [...addresses];
  }

  #relayCount(): number {
    return this.#vmAddresses().size;
  }

  #vmAddresses(): Set<string> {
    return new Set([...this.#state.workers()].map(vmAddressOf));
  }

  #answerReady(_request: IncomingMessage, response: ServerResponse): void {
    const isReady = !this.#isLeaving && this.#state.config !== undefined;
    response.sendDate = false;
    response.writeHead(isReady ? 200 : 503, ['Content-Length', '0']);
    response.end();
  }

  async #answerPeer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://relay');
    if (url.pathname !== FEED_PATH) {
      response.writeHead(404, ['Content-Length', '0']);
      response.end();
      return;
    }
    const answer = await this.#feed.respond(
      decodeFeedRequest(url.searchParams),
      () => ({
        isReader: this.#readers.isReader,
        readers: this.#readers.readers,
      }),
    );
    const body = JSON.stringify(answer);
    response.setHeader('Content-Length', Buffer.byteLength(body));
    response.end(body);
  }

  async #answerMetrics(
    _request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const page = await this.#options.metrics.expose();
    response.writeHead(200, ['Content-Type', page.contentType]);
    response.end(page.body);
  }

  #scheduleHousekeeping(): void {
    this.#housekeeping = this.#options.clock.setTimer(HOUSEKEEPING_MS, () => {
      this.#pools.closeExpired();
      this.#gate.closeExpired();
      this.#peers.retainOnly(this.#vmAddresses());
      this.#scheduleHousekeeping();
    });
  }
}
