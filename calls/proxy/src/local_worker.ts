import {AdmissionController} from '@carobseam/calls.admission';
import type {KeyGuard} from '@carobseam/calls.at_most_once';
import type {
  CrashMarkStore,
  InFlightRequest,
} from '@carobseam/calls.crash_marks';
import type {ConfigSnapshot} from '@carobseam/config.snapshot';
import type {Logger} from '@carobseam/core.logger';
import type {Metrics} from '@carobseam/core.metrics';
import type {Clock, ServiceName, VmId} from '@carobseam/core.types';
import type {ExchangeFailure} from './exchange.js';
import {KeepAliveAgent} from './keep_alive_agent.js';
import {probeWorker, type ProbeResult, type ProbeTarget} from './probes.js';

export interface LocalWorkerOptions {
  vmId: VmId;
  service: ServiceName;
  upstream: ProbeTarget;
  clock: Clock;
  metrics: Metrics;
  logger: Logger;
  keyGuard: KeyGuard;
  crashMarks: CrashMarkStore;
}

// When a process ends, its connections are reset just before its listening
// socket closes, so an immediate probe could still succeed.
const CRASH_PROBE_DELAY_MS = 20;

/**
 * The local worker, which runs on the same VM as this daemon: its admission
 * control, its connection pool and the detection of its crashes.
 */
export class LocalWorker {
  readonly clock: Clock;
  readonly upstream: ProbeTarget;
  readonly keyGuard: KeyGuard;
  readonly crashMarks: CrashMarkStore;
  readonly admission: AdmissionController;
  readonly agent = new KeepAliveAgent();
  readonly #options: LocalWorkerOptions;
  /** Requests whose connection was reset; waiting for the probe's result. */
  #resetRequests: InFlightRequest[] = [];
  #crashCount = 0;

  constructor(options: LocalWorkerOptions) {
    const {clock, metrics} = options;
    this.#options = options;
    this.clock = clock;
    this.upstream = options.upstream;
    this.keyGuard = options.keyGuard;
    this.crashMarks = options.crashMarks;
    this.admission = new AdmissionController({clock, metrics});
  }

  /** Applies the worker's slots and connections of a configuration version. */
  applySnapshot(snapshot: ConfigSnapshot | undefined): void {
    const service = snapshot?.services.get(this.#options.service);
    if (service) {
      this.agent.maxSockets = service.connections;
      this.admission.setCapacity(service);
    }
  }

  recordResponse(): void {
    this.admission.markWorkerUp();
  }

  /** @param inFlight returns the request; called after a connection reset. */
  recordFailure(
    failure: ExchangeFailure,
    inFlight: () => InFlightRequest,
  ): void {
    if (failure.kind === 'not_connected') {
      this.#markDown();
    }
    if (failure.kind === 'reset') {
      this.recordReset(inFlight());
    }
  }

  /**
   * Records that a connection was reset after a request was written. Checks
   * with a new connection whether the worker crashed.
   */
  recordReset(request: InFlightRequest): void {
    this.#resetRequests.push(request);
    if (this.#resetRequests.length > 1) {
      return;
    }
    this.clock.setTimer(CRASH_PROBE_DELAY_MS, () =>
      probeWorker(this.upstream, result => this.#onResetProbed(result)),
    );
  }

  countReplacedConnection(reason: ProbeResult): void {
    this.#options.metrics.increment('carobseam_connections_replaced_total', {
      reason,
    });
  }

  close(): void {
    this.admission.close();
    this.agent.destroy();
  }

  #onResetProbed(result: ProbeResult): void {
    const requests = this.#resetRequests;
    this.#resetRequests = [];
    if (result !== 'refused') {
      return;
    }
    const {vmId, logger, clock} = this.#options;
    const crashId = `${vmId}-${Math.round(clock.wallMs())}-${this.#crashCount++}`;
    logger.warn('worker_crashed', {crashId, inFlight: requests.length});
    this.crashMarks.recordCrash(crashId, requests);
    this.#markDown();
  }

  #markDown(): void {
    this.admission.markWorkerDown();
  }
}
