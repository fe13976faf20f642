import {WorkerLoads} from '@carobseam/calls.placement';
import {
  CallerDeadlineTracker,
  HopDelays,
  HopStamps,
  InboundHandler,
  OutboundHandler,
  PeerHealth,
  PeerPools,
  ReadDelayProbe,
  RequestIntake,
  WorkerGate,
} from '@carobseam/calls.relay';
import {ServiceRetryBudgets} from '@carobseam/calls.retries';
import {
  MeshState,
  type MeshSource,
  type MeshStateChange,
} from '@carobseam/config.mesh';
import type {Metrics} from '@carobseam/core.metrics';
import {splitAddress} from '@carobseam/core.net';
import type {Clock, RandomSource, Timer} from '@carobseam/core.types';
import type {CrashMarkExchange} from '@carobseam/fleet.crash_mark_exchange';
import {
  FeedClient,
  FeedServer,
  ReaderFollower,
  SourceFollower,
  ChangeFeed,
} from '@carobseam/fleet.follower';
import type {RelaySettings} from '@carobseam/platform.adapter';
import type {
  IncomingMessage,
  RequestListener,
  Server,
  ServerResponse,
} from 'node:http';
import {setImmediate} from 'node:timers/promises';
import {createControlHandler} from './create_control_handler.js';
import {createCrashQuarantine} from './create_crash_quarantine.js';
import type {RateLimitedLog} from './rate_limited_log.js';
import {hasHighBandwidthLink} from './has_high_bandwidth_link.js';
import {listen} from './listen.js';
import {PeerDirectory} from './peer_directory.js';
import {RequestRecorder} from './request_recorder.js';
import {ShutdownSchedule} from './shutdown_schedule.js';
import {StateChangeRecorder} from './state_change_recorder.js';

const WORKER_CONNECT_TIMEOUT_MS = 500; // the worker is on the same VM
const WORKER_IDLE_TTL_MS = 4000; // the users' workers close idle connections after 10 s
const WORKER_MAX_IDLE_CONNECTIONS = 40; // a third of the connections that a worker accepts
const DEFAULT_KEEP_ALIVE_TIMEOUT_MS = 60_000; // used until a configuration is active
const KEEP_ALIVE_TIMEOUT_FACTOR = 1.25; // callers reuse a connection until 4/5 of the configured limit
const INBOUND_KEEP_ALIVE_TIMEOUT_MS = 20_000; // longer than peers keep idle connections in their pools
const DRAIN_CHECK_INTERVAL_MS = 20; // the longest delay until an idle relay exits
const HOUSEKEEPING_INTERVAL_MS = 1000; // the longest time for which an expired idle connection stays open

/** Options of `Relay`. */
export interface RelayOptions {
  settings: RelaySettings;
  source: MeshSource;
  clock: Clock;
  random: RandomSource;
  log: RateLimitedLog;
  metrics: Metrics;
}

/**
 * A relay runs on each VM of the users' platform next to one worker. It forwards
 * the requests of local callers to a suitable worker, and requests from the
 * relays of other VMs (its peers) to the local worker. It reads the
 * configuration and the list of workers from the platform's store or from peers.
 */
export class Relay {
  readonly #options: RelayOptions;
  readonly #state: MeshState;
  readonly #stateRecorder: StateChangeRecorder;
  readonly #workerLoads: WorkerLoads;
  readonly #peerHealth: PeerHealth;
  readonly #peerPools: PeerPools;
  readonly #workerGate: WorkerGate;
  readonly #peers: PeerDirectory;
  readonly #changeFeed: ChangeFeed;
  readonly #feedClient = new FeedClient();
  readonly #crashMarkExchange: CrashMarkExchange;
  readonly #handleControl: RequestListener;
  readonly #readerFollower: ReaderFollower;
  readonly #sourceFollower: SourceFollower;
  readonly #outbound: OutboundHandler;
  readonly #inbound: InboundHandler;
  readonly #readDelayProbe: ReadDelayProbe;
  readonly #intake: RequestIntake;
  readonly #hopDelays: HopDelays;
  readonly #shutdown: ShutdownSchedule;
  readonly #servers: Server[] = [];
  #inboundServer?: Server;
  #outboundServer?: Server;
  #housekeepingTimer?: Timer;
  #hasFetchedCrashMarks = false;

  constructor(options: RelayOptions) {
    const {settings, clock, random, log, metrics} = options;
    const recorder = new RequestRecorder(log, metrics);
    const isDraining = () => this.#shutdown.isDraining;
    const isRefusingNewRequests = () => this.#shutdown.isRefusingNewRequests;
    const shutdownDeadlineMs = () => this.#shutdown.deadlineMs;
    this.#options = options;
    this.#stateRecorder = new StateChangeRecorder(log, metrics);
    this.#shutdown = new ShutdownSchedule(clock, settings.graceS * 1000);
    this.#state = new MeshState({
      clock,
      dataCentre: settings.dataCentre,
      contactMs: settings.contactMs,
      onChange: change => this.#handleStateChange(change),
      onApplied: () => this.#handleStateApplied(),
    });
    this.#peers = new PeerDirectory(settings, this.#state);
    this.#changeFeed = new ChangeFeed({clock, random, state: this.#state});
    this.#workerLoads = new WorkerLoads(clock, settings.drainMs);
    const inboundPort = splitAddress(settings.inboundAddress).port;
    this.#peerPools = new PeerPools(clock, inboundPort);
    this.#peerHealth = new PeerHealth({
      clock,
      port: inboundPort,
      onChange: (vmAddress, change) =>
        this.#stateRecorder.recordVm(
          vmAddress,
          change,
          this.#peerHealth.downCount,
        ),
    });
    const {quarantine, exchange, server} = createCrashQuarantine({
      settings,
      clock,
      random,
      log,
      recorder,
      relays: () => this.#peers.addressesByDataCentre(),
    });
    this.#crashMarkExchange = exchange;
    this.#workerGate = new WorkerGate({
      clock,
      workerAddress: settings.workerAddress,
      connectTimeoutMs: WORKER_CONNECT_TIMEOUT_MS,
      idleTtlMs: WORKER_IDLE_TTL_MS,
      maxIdle: WORKER_MAX_IDLE_CONNECTIONS,
      drainMs: settings.drainMs,
      isGone: id => this.#state.isGone(id),
      quarantine,
      onConnection: () =>
        metrics.increment('carobseam_relay_worker_connections_total'),
      onStatement: (id, statement) => recorder.workerStatement(id, statement),
    });
    const fetchFeed = this.#feedClient.fetch.bind(this.#feedClient);
    this.#readerFollower = new ReaderFollower({
      clock,
      state: this.#state,
      logger: log.logger,
      fetchFeed,
      canBeReader: hasHighBandwidthLink(settings),
      ownAddress: settings.controlAddress,
      peerAddresses: () => this.#peers.dataCentreAddresses(),
      remotePeerAddresses: () => this.#peers.remoteAddresses(),
      random,
    });
    const feedServer = new FeedServer({
      feed: this.#changeFeed,
      role: () => ({
        isReader: this.#readerFollower.isReader,
        readers: this.#readerFollower.readers,
      }),
    });
    this.#handleControl = createControlHandler(feedServer, server);
    this.#sourceFollower = new SourceFollower({
      clock,
      random,
      source: options.source,
      state: this.#state,
      logger: log.logger,
      peerAddresses: () => this.#peers.addressesToPoll(),
      fetchFeed,
      readers: this.#readerFollower,
      hasLowBandwidthLink: !hasHighBandwidthLink(settings),
      onContact: () => this.#changeFeed.recordSourceContact(),
      onCall: outcome =>
        metrics.increment('carobseam_relay_store_calls_total', {outcome}),
    });
    this.#intake = new RequestIntake({clock});
    this.#hopDelays = new HopDelays(clock);
    this.#inbound = new InboundHandler({
      clock,
      intake: this.#intake,
      hopDelays: this.#hopDelays,
      workerGate: this.#workerGate,
      log: recorder,
      isDraining,
      isRefusingNewRequests,
      shutdownDeadlineMs,
    });
    this.#readDelayProbe = new ReadDelayProbe({
      clock,
      ...splitAddress(settings.outboundAddress),
      onDelay: delayMs => recorder.readDelay('outbound', delayMs),
    });
    this.#outbound = new OutboundHandler({
      clock,
      random,
      state: this.#state,
      workerLoads: this.#workerLoads,
      peerHealth: this.#peerHealth,
      peerPools: this.#peerPools,
      workerGate: this.#workerGate,
      quarantine,
      callerDeadlines: new CallerDeadlineTracker(clock),
      intake: this.#intake,
      hopStamps: new HopStamps(clock),
      isStateCurrent: () => this.#sourceFollower.isCurrent,
      readDelayOf: request => this.#readDelayProbe.delayOf(request),
      log: recorder,
      dataCentre: settings.dataCentre,
      service: settings.service,
      workerAddress: settings.workerAddress,
      retryBudgets: new ServiceRetryBudgets({
        clock,
        ratio: settings.retryBudgetRatio,
        slack: settings.retryBudgetSlack,
        relayCount: () => this.#peers.vmAddresses().size,
      }),
      isDraining,
      isRefusingNewRequests,
      shutdownDeadlineMs,
    });
  }

  /**
   * Starts all servers and begins to follow the store.
   *
   * @throws CarobseamError LISTEN_FAILED.
   */
  async start(): Promise<void> {
    const {settings} = this.#options;
    void this.#sourceFollower.run();
    this.#readerFollower.start();
    const handlers: Array<[address: string, handler: RequestListener]> = [
      [
        settings.readyAddress,
        (request, response) => this.#respondReadiness(request, response),
      ],
      [settings.controlAddress, this.#handleControl],
      [
        `${settings.vmAddress}:${settings.metricsPort}`,
        (request, response) => void this.#respondMetrics(request, response),
      ],
    ];
    for (const [address, handler] of handlers) {
      this.#servers.push(await listen(address, handler));
    }
    const inbound = await listen(settings.inboundAddress, (request, response) =>
      this.#inbound.handle(request, response),
    );
    inbound.keepAliveTimeout = INBOUND_KEEP_ALIVE_TIMEOUT_MS;
    this.#inbound.watch(inbound);
    this.#inboundServer = inbound;
    this.#outboundServer = await listen(
      settings.outboundAddress,
      (request, response) => {
        if (!this.#readDelayProbe.respond(request, response)) {
          this.#outbound.handle(request, response);
        }
      },
    );
    this.#outboundServer.on('connection', socket =>
      this.#readDelayProbe.connectionAccepted(socket),
    );
    this.#outboundServer.keepAliveTimeout = DEFAULT_KEEP_ALIVE_TIMEOUT_MS;
    this.#servers.push(inbound, this.#outboundServer);
    this.#scheduleHousekeeping();
  }

  /**
   * Drains the relay for a graceful shutdown: it reports that it is not ready,
   * at first still serves new requests and later refuses them. Resolves when
   * callers have had time to notice and no request is in flight, or in the last
   * sixth of the platform's grace period; callers whose requests are still in
   * flight then get an error response. Other relays get a refusal on each
   * connection that is still open.
   *
   * @param earliestSignalMs the earliest time at which the signal to stop can
   *     have been sent, on the monotonic clock, in ms.
   */
  async drain(
    earliestSignalMs = this.#options.clock.monotonicMs(),
  ): Promise<void> {
    this.#shutdown.start(earliestSignalMs);
    this.#workerGate.prepareExit(this.#shutdown.deadlineMs);
    await this.#untilIdle();
    this.#shutdown.beginExit();
    if (this.#inboundServer) {
      await this.#inbound.retire(this.#inboundServer);
    }
  }

  /** Waits until nothing is in flight, or until the relay must exit. */
  async #untilIdle(): Promise<void> {
    const {clock} = this.#options;
    for (;;) {
      // After a delay of the event loop, timers run before received data is read.
      await setImmediate();
      if (clock.monotonicMs() >= this.#shutdown.deadlineMs) {
        this.#workerGate.refuseQueued();
      }
      const isIdle =
        this.#outbound.activeCount === 0 && this.#inbound.activeCount === 0;
      if (this.#shutdown.mayExit && isIdle) {
        return;
      }
      if (this.#shutdown.mustExit) {
        this.#options.log.logger.warn('requests_cut_by_exit', {
          outbound: this.#outbound.activeCount,
          inbound: this.#inbound.activeCount,
        });
        this.#outbound.abortAll();
        return;
      }
      await new Promise<void>(resolve => {
        clock.setTimer(DRAIN_CHECK_INTERVAL_MS, resolve);
      });
    }
  }

  close(): void {
    this.#sourceFollower.close();
    this.#readerFollower.close();
    this.#crashMarkExchange.close();
    this.#feedClient.close();
    this.#housekeepingTimer?.cancel();
    this.#peerHealth.close();
    this.#readDelayProbe.close();
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
    this.#peerPools.close();
    this.#workerGate.close();
  }

  #handleStateApplied(): void {
    const {workerAddress} = this.#options.settings;
    this.#workerGate.setWorker(this.#state.workerAt(workerAddress));
    if (!this.#hasFetchedCrashMarks) {
      this.#hasFetchedCrashMarks = true;
      void this.#crashMarkExchange.start();
    }
    this.#changeFeed.notifyStateChanged();
  }

  #handleStateChange(change: MeshStateChange): void {
    this.#stateRecorder.record(change, this.#state.revision);
    if (change.kind === 'config') {
      this.#applyLimits();
    } else if (change.kind === 'worker') {
      this.#workerLoads.clearAddressStale(change.worker.id);
    } else if (change.kind === 'workerRemoved') {
      this.#workerLoads.remove(change.id);
    }
  }

  #applyLimits(): void {
    const limits = this.#state.config?.limits;
    if (!this.#outboundServer || !limits) {
      return;
    }
    // Never shortened, because callers rely on the limit that they last saw.
    this.#outboundServer.keepAliveTimeout = Math.max(
      this.#outboundServer.keepAliveTimeout,
      limits.idleTimeoutMs * KEEP_ALIVE_TIMEOUT_FACTOR,
    );
  }

  #respondReadiness(_request: IncomingMessage, response: ServerResponse): void {
    const isReady =
      !this.#shutdown.isDraining &&
      !this.#peerHealth.isIsolated &&
      this.#state.config !== undefined;
    response.sendDate = false;
    response.writeHead(isReady ? 200 : 503, ['Content-Length', '0']);
    response.end();
  }

  async #respondMetrics(
    _request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const exposition = await this.#options.metrics.expose();
    response.writeHead(200, ['Content-Type', exposition.contentType]);
    response.end(exposition.body);
  }

  #scheduleHousekeeping(): void {
    this.#housekeepingTimer = this.#options.clock.setTimer(
      HOUSEKEEPING_INTERVAL_MS,
      () => {
        this.#peerPools.closeExpired();
        this.#workerGate.closeExpired();
        const vmAddresses = this.#peers.vmAddresses();
        this.#peerHealth.retainOnly(vmAddresses);
        this.#hopDelays.retainOnly(vmAddresses);
        this.#scheduleHousekeeping();
      },
    );
  }
}
