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
import {GuardedAgent} from './guarded_agent.js';
import {probeWorker, type ProbeResult, type ProbeTarget} from './probe_peer.js';

/** Options of a `WorkerGate`. */
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

// The connections of a process that ends are reset just before its listening
// socket closes.
const CRASH_PROBE_DELAY_MS = 20;

/** Access to the worker beside this daemon: slots, connections, crashes. */
export class LocalWorker {
  readonly clock: Clock;
  readonly upstream: ProbeTarget;
  readonly keyGuard: KeyGuard;
  readonly crashMarks: CrashMarkStore;
  readonly admission: AdmissionController;
  readonly agent = new GuardedAgent();
  readonly #options: LocalWorkerOptions;
  /** Requests whose connection was reset, until a probe ends. */
  #resetRequests: InFlightRequest[] = [];
  #crashes = 0;

  constructor(options: LocalWorkerOptions) {
    const {clock, metrics} = options;
    this.#options = options;
    this.clock = clock;
    this.upstream = options.upstream;
    this.keyGuard = options.keyGuard;
    this.crashMarks = options.crashMarks;
    this.admission = new AdmissionController({clock, metrics});
  }

  /** Takes the worker's slots and connections from a version. */
  applySnapshot(snapshot: ConfigSnapshot | undefined): void {
    const service = snapshot?.services.get(this.#options.service);
    if (service) {
      this.agent.maxSockets = service.connections;
      this.admission.setCapacity(service);
    }
  }

  noteResponse(): void {
    this.admission.markWorkerUp();
  }

  /** @param inFlight the request; needed after a reset connection. */
  noteFailure(failure: ExchangeFailure, inFlight: () => InFlightRequest): void {
    if (failure.kind === 'not_connected') {
      this.#noteDown();
    }
    if (failure.kind === 'reset') {
      this.noteReset(inFlight());
    }
  }

  /** A call was written and its connection was reset. */
  noteReset(request: InFlightRequest): void {
    this.#resetRequests.push(request);
    if (this.#resetRequests.length > 1) {
      return;
    }
    this.clock.setTimer(CRASH_PROBE_DELAY_MS, () =>
      probeWorker(this.upstream, result => this.#afterReset(result)),
    );
  }

  noteReplaced(reason: ProbeResult): void {
    this.#options.metrics.increment('carobseam_connections_replaced_total', {
      reason,
    });
  }

  close(): void {
    this.admission.close();
    this.agent.destroy();
  }

  #afterReset(result: ProbeResult): void {
    const requests = this.#resetRequests;
    this.#resetRequests = [];
    if (result !== 'refused') {
      return;
    }
    const {vmId, logger, clock} = this.#options;
    const crashId = `${vmId}-${Math.round(clock.wallMs())}-${this.#crashes++}`;
    logger.warn('worker_crashed', {crashId, inFlight: requests.length});
    this.crashMarks.recordCrash(crashId, requests);
    this.#noteDown();
  }

  #noteDown(): void {
    this.admission.markWorkerDown();
  }
}
