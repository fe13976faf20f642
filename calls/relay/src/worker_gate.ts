import {
  ConnectionPool,
  headerValue,
  type Exchange,
  type ExchangeResponse,
  type ExchangeResult,
} from '@carobseam/calls.exchange';
import {
  orderClassOf,
  WorkerQueue,
  type QueuedRequest,
  type WorkerLoad,
} from '@carobseam/calls.worker_queue';
import type {MeshWorker, WorkerId} from '@carobseam/config.mesh';
import type {Clock, Timer} from '@carobseam/core.types';
import {wireHeaders} from '@carobseam/platform.adapter';
import {Readable} from 'node:stream';
import type {HopVerdict} from './hop_message.js';

const INITIAL_SLOTS = 8; // the smallest worker of the users' sheets, until the entry is read
const EXPIRY_MARGIN_MS = 100; // so that a refusal reaches the caller before it gives up
const LEAVE_SHARE = 0.2; // of the drain bound; the rest is for the source's delay and for silent readers

/** A request for the worker beside this relay. */
export interface GateRequest {
  worker: WorkerId;
  isIdempotent: boolean;
  queue: QueuedRequest;
  method: string;
  url: string;
  /** Headers to send, without the deadline. */
  headers: string[];
  body: Buffer | Readable;
  requestId?: string;
}

/** What became of a request at the gate. */
export interface GateResult {
  verdict: HopVerdict;
  reason: string;
  retryAfterMs: number;
  response?: ExchangeResponse;
}

/** A request that the gate has taken. */
export interface GateTicket {
  /** Never rejects. */
  readonly result: Promise<GateResult>;
  /**
   * The caller has left: a queued request is dropped, and a running one too
   * if it is idempotent; others run to their end.
   */
  callerLeft(): void;
}

/** Options of `WorkerGate`. */
export interface WorkerGateOptions {
  clock: Clock;
  workerAddress: string;
  connectTimeoutMs: number;
  idleTtlMs: number;
  maxIdle: number;
  /** Time after which a leaving worker must get nothing, in ms. */
  drainMs: number;
  /** Whether a worker is known to have left this gate's address. */
  isGone: (id: WorkerId) => boolean;
  /** Called for each new connection to the worker. */
  onConnection: () => void;
}

interface Entry extends QueuedRequest {
  request: GateRequest;
  settle: (result: GateResult) => void;
  exchange?: Exchange;
  expiry?: Timer;
}

/** The only way to the worker beside this relay. */
export class WorkerGate {
  readonly #options: WorkerGateOptions;
  readonly #pool: ConnectionPool;
  readonly #queue: WorkerQueue<Entry>;
  #worker?: MeshWorker;
  #leaveTimer?: Timer;

  constructor(options: WorkerGateOptions) {
    this.#options = options;
    this.#pool = new ConnectionPool({
      clock: options.clock,
      address: options.workerAddress,
      connectTimeoutMs: options.connectTimeoutMs,
      idleTtlMs: options.idleTtlMs,
      maxIdle: options.maxIdle,
      requestIdHeader: wireHeaders.requestId,
      onOpen: options.onConnection,
    });
    this.#queue = new WorkerQueue<Entry>({
      clock: options.clock,
      start: entry => this.#start(entry),
      refuse: (entry, reason, retryAfterMs) =>
        this.#settle(entry, {verdict: 'notSent', reason, retryAfterMs}),
    });
    this.#queue.setSlots(INITIAL_SLOTS);
  }

  get load(): WorkerLoad {
    return this.#queue.load;
  }

  /** Follows the entry of the worker at this gate's address. */
  setWorker(worker: MeshWorker | undefined): void {
    if (!worker) {
      this.#planLeave();
      return;
    }
    if (worker.id !== this.#worker?.id) {
      this.#queue.estimate.reset();
      this.#cancelLeave();
    }
    this.#worker = worker;
    this.#queue.setSlots(worker.slots);
    if (worker.isLeaving) {
      this.#planLeave();
    } else {
      this.#cancelLeave();
    }
  }

  take(request: GateRequest): GateTicket {
    let settle!: (result: GateResult) => void;
    const result = new Promise<GateResult>(resolve => (settle = resolve));
    const entry: Entry = {...request.queue, request, settle};
    if (this.#options.isGone(request.worker)) {
      settle({verdict: 'notSent', reason: 'workerGone', retryAfterMs: 0});
    } else {
      this.#offer(entry);
    }
    return {result, callerLeft: () => this.#callerLeft(entry)};
  }

  closeExpired(): void {
    this.#pool.closeExpired();
  }

  close(): void {
    this.#leaveTimer?.cancel();
    this.#pool.close();
  }

  #offer(entry: Entry): void {
    const answer = this.#queue.offer(entry);
    if (answer.kind === 'start') {
      this.#start(entry);
    } else if (answer.kind === 'refused') {
      const {reason, retryAfterMs} = answer;
      entry.settle({verdict: 'notSent', reason, retryAfterMs});
    } else {
      const leftMs = entry.expiresMs - this.#options.clock.monotonicMs();
      entry.expiry = this.#options.clock.setTimer(
        leftMs - EXPIRY_MARGIN_MS,
        () => this.#expire(entry),
      );
    }
  }

  #expire(entry: Entry): void {
    if (this.#queue.withdraw(entry)) {
      const result = {reason: 'expired', retryAfterMs: 0};
      this.#settle(entry, {verdict: 'notSent', ...result});
    }
  }

  #callerLeft(entry: Entry): void {
    if (this.#queue.withdraw(entry)) {
      const result = {reason: 'callerLeft', retryAfterMs: 0};
      this.#settle(entry, {verdict: 'notSent', ...result});
    } else if (entry.request.isIdempotent) {
      entry.exchange?.cancel();
    }
  }

  #start(entry: Entry): void {
    entry.expiry?.cancel();
    const {request} = entry;
    const startMs = this.#options.clock.monotonicMs();
    const leftMs = Math.max(1, Math.floor(entry.expiresMs - startMs));
    entry.exchange = this.#pool.exchange({
      method: request.method,
      url: request.url,
      headers: [...request.headers, wireHeaders.deadlineMs, String(leftMs)],
      body: request.body,
      requestId: request.requestId,
      // On a new connection no idle close and no late extra response can
      // leave the outcome of a request in doubt that must not run again.
      needsNewConnection: !request.isIdempotent,
    });
    void entry.exchange.result.then(result => {
      const durationMs = this.#options.clock.monotonicMs() - startMs;
      this.#count(result, orderClassOf(entry), durationMs);
      this.#finishAfterBody(result);
      this.#settle(entry, toGateResult(result));
    });
  }

  #count(result: ExchangeResult, orderClass: number, durationMs: number): void {
    if (result.kind === 'response' && result.status < 500) {
      this.#queue.estimate.succeeded(orderClass, durationMs);
    } else if (result.kind === 'response' || result.reason !== 'cancelled') {
      this.#queue.estimate.failed();
    }
  }

  /** Frees the slot once the worker has sent the whole response. */
  #finishAfterBody(result: ExchangeResult): void {
    if (result.kind === 'response' && result.body instanceof Readable) {
      result.body.once('close', () => this.#queue.finished());
    } else {
      this.#queue.finished();
    }
  }

  #settle(entry: Entry, result: GateResult): void {
    entry.expiry?.cancel();
    entry.settle(result);
  }

  #planLeave(): void {
    if (!this.#worker) {
      return;
    }
    this.#leaveTimer ??= this.#options.clock.setTimer(
      this.#options.drainMs * LEAVE_SHARE,
      () => this.#queue.leave(),
    );
  }

  #cancelLeave(): void {
    this.#leaveTimer?.cancel();
    this.#leaveTimer = undefined;
    this.#queue.rejoin();
  }
}

// Callers send a request again after these, also one that must not run twice.
const NOT_RUN_STATUSES = new Set([408, 429, 503]);

function toGateResult(result: ExchangeResult): GateResult {
  if (result.kind !== 'response') {
    return {verdict: result.kind, reason: result.reason, retryAfterMs: 0};
  }
  const isRejected =
    result.status === 421 ||
    headerValue(result.headers, wireHeaders.notExecuted) !== undefined;
  const isSealed =
    headerValue(result.headers, wireHeaders.workerSignature) !== undefined;
  if (!isRejected && !isSealed) {
    // An unsigned response cannot be attributed to the worker.
    return {verdict: 'unknown', reason: 'unsealed', retryAfterMs: 0};
  }
  if (!isRejected && NOT_RUN_STATUSES.has(result.status)) {
    // Callers take these statuses as a promise that the worker did not make.
    return {verdict: 'unknown', reason: 'unprovenRefusal', retryAfterMs: 0};
  }
  return {
    verdict: isRejected ? 'rejected' : 'answered',
    reason: String(result.status),
    retryAfterMs: 0,
    response: result,
  };
}
