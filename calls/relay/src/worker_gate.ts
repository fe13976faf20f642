import {
  ConnectionPool,
  type Exchange,
  type ExchangeResult,
  type FailureReason,
  type ReceivedHead,
} from '@carobseam/calls.exchange';
import {DRAIN_DELAY_SHARE} from '@carobseam/calls.placement';
import {
  priorityClassOf,
  WorkerQueue,
  type QueuedRequest,
  type WorkerLoad,
} from '@carobseam/calls.worker_queue';
import type {MeshWorker, WorkerId} from '@carobseam/config.mesh';
import type {Clock, Timer} from '@carobseam/core.types';
import {wireHeaders} from '@carobseam/platform.adapter';
import {Readable} from 'node:stream';
import {QUARANTINED} from './attempt_result.js';
import type {CrashQuarantine} from './crash_quarantine.js';
import type {GateRequest, GateResult, GateTicket} from './gate_request.js';
import {toGateResult} from './judge_response.js';
import {
  decodeWorkerStatement,
  WorkerStatements,
  type WorkerStatement,
} from './worker_statement.js';

const INITIAL_SLOTS = 8; // of the smallest worker in the users' specification; used until the worker's entry is read
const CALL_ID_SEPARATOR = '.';
const EXPIRY_MARGIN_MS = 100; // so that a refusal reaches the caller before its deadline
const EXCHANGE_GRACE_MS = 500; // the worker's own error response at the deadline may still arrive

/** Options of `WorkerGate`. */
export interface WorkerGateOptions {
  clock: Clock;
  workerAddress: string;
  connectTimeoutMs: number;
  idleTtlMs: number;
  maxIdle: number;
  /** Time after which a leaving worker must not receive requests, in ms. */
  drainMs: number;
  /**
   * Whether a worker was seen at this gate's address and is not there any more.
   */
  isGone: (id: WorkerId) => boolean;
  /** By default no request is refused as a cause of crashes. */
  quarantine?: CrashQuarantine;
  /** Called for each new connection to the worker. */
  onConnection: () => void;
  /** Called when a worker states something new about itself. */
  onStatement?: (id: WorkerId, statement: WorkerStatement) => void;
}

interface PendingRequest extends QueuedRequest {
  request: GateRequest;
  resolve: (result: GateResult) => void;
  submittedMs: number;
  startedMs?: number;
  exchange?: Exchange;
  /** Whether the response to it states that the worker is about to exit. */
  statesLeaving?: boolean;
  /** Body that is still being delivered. */
  stream?: Readable;
  expiryTimer?: Timer;
}

/**
 * Admission control and connection pool in front of the local worker. All
 * requests to the worker pass through the gate, both those of local callers
 * and those of other relays.
 */
export class WorkerGate {
  readonly #options: WorkerGateOptions;
  readonly #pool: ConnectionPool;
  readonly #queue: WorkerQueue<PendingRequest>;
  readonly #running = new Set<PendingRequest>();
  readonly #statements = new WorkerStatements();
  #worker?: MeshWorker;
  #exitMs = Infinity;
  #drainTimer?: Timer;

  constructor(options: WorkerGateOptions) {
    this.#options = options;
    this.#pool = new ConnectionPool({
      clock: options.clock,
      address: options.workerAddress,
      connectTimeoutMs: options.connectTimeoutMs,
      idleTtlMs: options.idleTtlMs,
      maxIdle: options.maxIdle,
      requestIdHeader: wireHeaders.requestId,
      isRequestIdEchoed: true,
      onOpen: options.onConnection,
    });
    this.#queue = new WorkerQueue<PendingRequest>({
      clock: options.clock,
      start: pending => this.#start(pending),
      refuse: (pending, reason, retryAfterMs) =>
        this.#resolve(pending, {verdict: 'notSent', reason, retryAfterMs}),
    });
    this.#queue.setSlots(INITIAL_SLOTS);
  }

  get load(): WorkerLoad {
    return this.#queue.load;
  }

  /**
   * Sets the worker at the gate's address; undefined when its entry was
   * removed.
   */
  setWorker(worker: MeshWorker | undefined): void {
    if (!worker) {
      if (this.#worker) {
        this.#scheduleDrain();
      }
      return;
    }
    if (worker.id !== this.#worker?.id) {
      this.#queue.estimate.reset();
      this.#cancelDrain();
    }
    this.#forgetStatementBefore(worker);
    this.#worker = worker;
    this.#queue.setSlots(worker.slots);
    if (worker.isLeaving || this.#isLeaving(worker.id)) {
      this.#scheduleDrain();
    } else {
      this.#cancelDrain();
    }
  }

  /** Forgets what an earlier start of the worker, or another worker, stated. */
  #forgetStatementBefore(worker: MeshWorker): void {
    const current = this.#worker;
    if (!current) {
      return;
    }
    const isRestarted =
      worker.id === current.id && worker.bornMs > current.bornMs;
    const isOther = worker.id !== current.id && !this.#statements.of(worker.id);
    if (isRestarted || isOther) {
      this.#statements.forget();
      this.#queue.setRateLimit(undefined);
    }
  }

  /**
   * Whether the local worker sends a request in the course of one that it runs:
   * workers extend the id of that one.
   */
  isCallOfWorker(requestId: string | undefined): boolean {
    if (!requestId) {
      return false;
    }
    for (const {request} of this.#running) {
      const parentId = request.requestId;
      if (parentId && requestId.startsWith(`${parentId}${CALL_ID_SEPARATOR}`)) {
        return true;
      }
    }
    return false;
  }

  /** Sends a request to the worker at once, queues it, or refuses it. */
  submit(request: GateRequest): GateTicket {
    let resolve!: (result: GateResult) => void;
    const result = new Promise<GateResult>(res => (resolve = res));
    const pending: PendingRequest = {
      ...request.scheduling,
      expiresAtMs: Math.min(request.scheduling.expiresAtMs, this.#exitMs),
      request,
      resolve,
      submittedMs: this.#options.clock.monotonicMs(),
    };
    const {worker, knownRateLimitPerS} = request;
    if (knownRateLimitPerS !== undefined && !this.#statements.of(worker)) {
      this.#queue.setRateLimit(knownRateLimitPerS);
    }
    if (this.#options.isGone(worker)) {
      resolve({
        verdict: 'notSent',
        reason: 'workerGone',
        retryAfterMs: 0,
        isWorkerLeaving: this.#isLeaving(worker),
      });
    } else if (this.#options.quarantine?.isRefused(request)) {
      resolve({verdict: 'notSent', reason: QUARANTINED, retryAfterMs: 0});
    } else {
      this.#enqueue(pending);
    }
    return {result, cancel: () => this.#cancel(pending)};
  }

  /**
   * Starts no request any more that cannot complete before the relay exits.
   *
   * @param exitMs when requests in flight end, on the monotonic clock.
   */
  prepareExit(exitMs: number): void {
    this.#exitMs = exitMs;
    this.#queue.limitExpiry(exitMs);
  }

  /**
   * Refuses all queued and new requests, because the relay is about to exit;
   * running requests complete.
   */
  refuseQueued(): void {
    this.#queue.drain();
  }

  /**
   * Closes idle connections and requests that have expired; must be called once
   * a second.
   */
  closeExpired(): void {
    this.#pool.closeExpired();
    // After a delay of the event loop, timers run before received data is read.
    setImmediate(() => this.#endExpired());
  }

  #endExpired(): void {
    const expiredMs = this.#options.clock.monotonicMs() - EXCHANGE_GRACE_MS;
    for (const pending of this.#running) {
      if (pending.expiresAtMs < expiredMs) {
        pending.exchange?.cancel();
        pending.stream?.destroy(new Error('the request has expired'));
      }
    }
  }

  close(): void {
    this.#drainTimer?.cancel();
    this.#queue.close();
    this.#pool.close();
  }

  #enqueue(pending: PendingRequest): void {
    const submitted = this.#queue.submit(pending);
    if (submitted.kind === 'start') {
      this.#start(pending);
    } else if (submitted.kind === 'refused') {
      const {reason, retryAfterMs} = submitted;
      this.#resolve(pending, {verdict: 'notSent', reason, retryAfterMs});
    } else {
      const remainingMs =
        pending.expiresAtMs - this.#options.clock.monotonicMs();
      pending.expiryTimer = this.#options.clock.setTimer(
        remainingMs - EXPIRY_MARGIN_MS,
        () => this.#expire(pending),
      );
    }
  }

  #expire(pending: PendingRequest): void {
    if (this.#queue.remove(pending)) {
      const result = {reason: 'expired', retryAfterMs: 0};
      this.#resolve(pending, {verdict: 'notSent', ...result});
    }
  }

  #cancel(pending: PendingRequest): void {
    if (this.#queue.remove(pending)) {
      const result = {reason: 'callerLeft', retryAfterMs: 0};
      this.#resolve(pending, {verdict: 'notSent', ...result});
    } else if (pending.request.isIdempotent) {
      pending.exchange?.cancel();
    }
  }

  #start(pending: PendingRequest): void {
    pending.expiryTimer?.cancel();
    this.#running.add(pending);
    const {request} = pending;
    const startMs = this.#options.clock.monotonicMs();
    pending.startedMs = startMs;
    const remainingMs = () =>
      pending.expiresAtMs - this.#options.clock.monotonicMs();
    pending.exchange = this.#pool.exchange({
      method: request.method,
      url: request.url,
      // Opening a connection may take a part of the time that is left.
      isWithdrawn: () =>
        request.hasSenderLeft?.() === true ||
        remainingMs() <= 0 ||
        this.#options.quarantine?.isRefused(request) === true,
      headers: () => [
        ...request.headers,
        wireHeaders.deadlineMs,
        String(Math.max(1, Math.floor(remainingMs()))),
      ],
      body: request.body,
      requestId: request.requestId,
      onHead: head => this.#recordHead(pending, head),
      // On a reused connection an idle close or a late response to an earlier
      // request could leave it unknown whether the worker ran the request,
      // and a request that is not idempotent could then not be retried.
      needsNewConnection: !request.isIdempotent,
    });
    void pending.exchange.result.then(result => {
      const durationMs = this.#options.clock.monotonicMs() - startMs;
      this.#recordResult(result, priorityClassOf(pending), durationMs);
      this.#reportToQuarantine(request, result, startMs);
      this.#releaseSlotAfter(pending, result);
      this.#resolve(pending, toGateResult(result));
    });
  }

  #recordHead(pending: PendingRequest, head: ReceivedHead): void {
    const id = pending.request.worker;
    pending.statesLeaving ||= decodeWorkerStatement(head.headers).isLeaving;
    if (this.#options.isGone(id)) {
      return;
    }
    const changed = this.#statements.record(id, head);
    const statement = this.#statements.of(id);
    if (changed) {
      this.#options.onStatement?.(id, changed);
    }
    if (statement) {
      this.#queue.setRateLimit(statement.rateLimitPerS);
    }
    if (changed?.isLeaving) {
      this.#scheduleDrain();
    }
  }

  #recordResult(
    result: ExchangeResult,
    priorityClass: number,
    durationMs: number,
  ): void {
    if (result.kind === 'response' && result.status < 500) {
      this.#queue.estimate.recordSuccess(priorityClass, durationMs);
    } else if (result.kind === 'response' || !OWN_ENDS.has(result.reason)) {
      this.#queue.estimate.recordFailure();
    }
  }

  #reportToQuarantine(
    request: GateRequest,
    result: ExchangeResult,
    startMs: number,
  ): void {
    const {quarantine} = this.#options;
    if (result.kind === 'response') {
      quarantine?.recordCompletion(request);
    } else if (result.reason === 'connection_lost') {
      quarantine?.recordLost(request, startMs, request.isResent === true);
    }
  }

  /** Frees the slot, after a streamed response only once its body has ended. */
  #releaseSlotAfter(pending: PendingRequest, result: ExchangeResult): void {
    const release = () => {
      this.#running.delete(pending);
      this.#queue.release();
    };
    if (
      result.kind === 'response' &&
      result.body instanceof Readable &&
      !result.body.closed
    ) {
      pending.stream = result.body;
      result.body.once('close', release);
    } else {
      release();
    }
  }

  #resolve(pending: PendingRequest, result: GateResult): void {
    pending.expiryTimer?.cancel();
    const {submittedMs, startedMs} = pending;
    const nowMs = this.#options.clock.monotonicMs();
    result.waitedMs = (startedMs ?? nowMs) - submittedMs;
    result.ranMs = startedMs === undefined ? undefined : nowMs - startedMs;
    result.isWorkerLeaving =
      pending.statesLeaving === true || this.#isLeaving(pending.request.worker);
    pending.resolve(result);
  }

  #isLeaving(id: WorkerId): boolean {
    return this.#statements.of(id)?.isLeaving === true;
  }

  #scheduleDrain(): void {
    this.#drainTimer ??= this.#options.clock.setTimer(
      this.#options.drainMs * DRAIN_DELAY_SHARE,
      () => this.#queue.drain(),
    );
  }

  #cancelDrain(): void {
    this.#drainTimer?.cancel();
    this.#drainTimer = undefined;
    this.#queue.resume();
  }
}

// Ends of an exchange that say nothing about the worker.
const OWN_ENDS = new Set<FailureReason>(['cancelled', 'withdrawn']);
