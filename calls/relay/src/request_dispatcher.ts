import {
  headerValue,
  type ExchangeFailure,
  type ExchangeResponse,
} from '@carobseam/calls.exchange';
import {
  chooseWorker,
  decideNextStep,
  retryDenialOf,
  type AttemptOutcome,
  type WorkerChoice,
} from '@carobseam/calls.placement';
import {priorityClassOf} from '@carobseam/calls.worker_queue';
import {
  vmAddressOf,
  type MeshRoute,
  type MeshWorker,
  type WorkerId,
} from '@carobseam/config.mesh';
import type {LogFields} from '@carobseam/core.logger';
import type {ServiceName} from '@carobseam/core.types';
import {wireHeaders} from '@carobseam/platform.adapter';
import {Readable} from 'node:stream';
import {
  decodeHopResponse,
  encodeHopRequest,
  hopHeaders,
  toQueuedRequest,
  type HopRequest,
} from './hop_message.js';
import type {RelayContext} from './relay_context.js';
import {gateTimes, roundMs} from './log_times.js';
import type {GateResult} from './worker_gate.js';

const HOP_INACTIVITY_TIMEOUT_MS = 600; // the worker's relay sends an interim response every 200 ms; two may be late

/** A request from a caller, with its route. */
export interface DispatchedRequest {
  id: string | undefined;
  route: MeshRoute;
  service: ServiceName;
  method: string;
  url: string;
  headers: string[];
  body: Buffer | Readable;
  /** Whether the caller has no time for a retry after a refusal. */
  isLastCallerAttempt: boolean;
  /**
   * When the response misses the target latency, on the monotonic clock, in ms.
   */
  dueAtMs: number;
  /** When the caller's or the route's timeout ends, on the same clock. */
  expiresAtMs: number;
}

/**
 * Outcome of a dispatched request: a response, a refusal that guarantees that
 * no worker ran the request, or an unknown outcome.
 */
export type DispatchResult =
  | {kind: 'response'; response: ExchangeResponse; attempts: number}
  | {kind: 'refused'; reason: string; waitMs: number; serviceMs: number}
  | {kind: 'unknown'; reason: string};

interface Attempt {
  outcome: AttemptOutcome;
  reason: string;
  waitMs: number;
  response?: ExchangeResponse;
  /** What happened during the attempt, for the log. */
  details?: LogFields;
}

/**
 * Dispatches one request: sends it to a worker and retries with other workers
 * until there is a response or no further attempt is allowed.
 */
export class RequestDispatcher {
  readonly #context: RelayContext;
  readonly #request: DispatchedRequest;
  readonly #triedWorkerIds = new Set<WorkerId>();
  #sentAttempts = 0;
  #unsentAttempts = 0;
  #mayHaveRun = false;
  #isCancelled = false;
  #shortestWaitMs = Infinity;
  #attemptStartMs = 0;
  #failedResponse?: ExchangeResponse;
  #cancelAttempt: () => void = () => {};

  constructor(context: RelayContext, request: DispatchedRequest) {
    this.#context = context;
    this.#request = request;
  }

  /** Cancels the attempt in flight and prevents retries. */
  cancel(): void {
    this.#isCancelled = true;
    this.#cancelAttempt();
  }

  /** Whether a worker may have run the request or may still run it. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun || this.#sentAttempts > 0;
  }

  /** Sends the request; must be called once. */
  async dispatch(): Promise<DispatchResult> {
    for (;;) {
      const choice = this.#chooseWorker();
      if (!choice) {
        return this.#giveUp(this.#noWorkerReason(), this.#shortestWaitMs);
      }
      const attempt = await this.#makeAttempt(choice);
      const result = this.#handleAttempt(attempt, choice.worker);
      if (result) {
        return result;
      }
    }
  }

  #chooseWorker(): WorkerChoice | undefined {
    const context = this.#context;
    const request = this.#request;
    return chooseWorker({
      workers: context.state.workersOf(request.service),
      dataCentre: context.dataCentre,
      dueInMs: request.dueAtMs - context.clock.monotonicMs(),
      targetLatencyMs: request.route.targetLatencyMs,
      estimate: worker =>
        context.workerLoads.estimate(worker, priorityClassOf(request.route)),
      isUnreachable: worker => context.peerHealth.isDown(vmAddressOf(worker)),
      triedWorkerIds: this.#triedWorkerIds,
      random: context.random,
    });
  }

  #noWorkerReason(): string {
    const {state} = this.#context;
    const workerCount = state.workersOf(this.#request.service).length;
    return workerCount > this.#triedWorkerIds.size ? 'allFull' : 'noWorker';
  }

  /** Returns the result after an attempt, or undefined to make another one. */
  #handleAttempt(
    attempt: Attempt,
    worker: MeshWorker,
  ): DispatchResult | undefined {
    const {retryBudgets, clock, log, state} = this.#context;
    const {route, service} = this.#request;
    const inputs = {
      outcome: attempt.outcome,
      // A streamed request body can be sent only once, and a streamed response
      // cannot be kept for delivery after a retry.
      isIdempotent:
        route.isIdempotent &&
        !(this.#request.body instanceof Readable) &&
        !(attempt.response?.body instanceof Readable),
      sentAttempts: this.#sentAttempts,
      maxAttempts: route.maxAttempts,
      mayHaveRun: this.#mayHaveRun,
      unsentAttempts: this.#unsentAttempts,
      expiresInMs: this.#request.expiresAtMs - clock.monotonicMs(),
    };
    const step = decideNextStep({
      ...inputs,
      takeRetry: () => {
        const isTaken = !this.#isCancelled && retryBudgets.take(service);
        if (!isTaken && !this.#isCancelled) {
          log.retryBudgetExhausted(service);
        }
        return isTaken;
      },
    });
    if (attempt.outcome !== 'answered') {
      log.attemptFailed(attempt.outcome, {
        id: this.#request.id,
        worker: worker.id,
        vmAddress: vmAddressOf(worker),
        dataCentre: worker.dataCentre,
        reason: attempt.reason,
        durationMs: Math.round(clock.monotonicMs() - this.#attemptStartMs),
        ...attempt.details,
        sends: this.#sentAttempts,
        offers: this.#unsentAttempts,
        version: state.config?.version,
        outcome: step,
        retryDenied: this.#retryDenialAfter(step, inputs),
      });
    }
    return this.#finish(step, attempt);
  }

  #retryDenialAfter(
    step: ReturnType<typeof decideNextStep>,
    inputs: Parameters<typeof retryDenialOf>[0],
  ): string | undefined {
    if (this.#isCancelled) {
      return 'cancelled';
    }
    return step === 'sendAgain' ? undefined : retryDenialOf(inputs);
  }

  #finish(
    step: ReturnType<typeof decideNextStep>,
    attempt: Attempt,
  ): DispatchResult | undefined {
    if (step === 'deliver') {
      return this.#deliver(attempt.response!);
    }
    if (step === 'refuse') {
      return this.#giveUp(attempt.reason, this.#shortestWaitMs);
    }
    if (step === 'reportUnknown' || this.#isCancelled) {
      return this.#failedResponse
        ? this.#deliver(this.#failedResponse)
        : {kind: 'unknown', reason: attempt.reason};
    }
    return undefined;
  }

  #deliver(response: ExchangeResponse): DispatchResult {
    return {kind: 'response', response, attempts: this.#sentAttempts};
  }

  #giveUp(reason: string, waitMs: number): DispatchResult {
    if (this.#failedResponse) {
      return this.#deliver(this.#failedResponse);
    }
    if (this.#mayHaveRun) {
      return {kind: 'unknown', reason};
    }
    const serviceMs = this.#request.route.targetLatencyMs / 2;
    const expectedWaitMs = Number.isFinite(waitMs) ? waitMs : serviceMs;
    return {kind: 'refused', reason, waitMs: expectedWaitMs, serviceMs};
  }

  async #makeAttempt(choice: WorkerChoice): Promise<Attempt> {
    const {worker} = choice;
    const {clock, workerLoads, log, state} = this.#context;
    const request = this.#request;
    const nowMs = clock.monotonicMs();
    log.requestPlaced({
      id: request.id,
      route: request.route.name,
      worker: worker.id,
      dataCentre: worker.dataCentre,
      reason: choice.reason,
      expectedMs: Math.round(choice.expectedMs),
      leftMs: Math.round(request.expiresAtMs - nowMs),
      version: state.config?.version,
    });
    this.#attemptStartMs = nowMs;
    this.#triedWorkerIds.add(worker.id);
    this.#sentAttempts++;
    workerLoads.recordAttemptStart(worker.id);
    const hop: HopRequest = {
      worker: worker.id,
      isIdempotent: request.route.isIdempotent,
      rank: request.route.rank,
      isLastCallerAttempt: request.isLastCallerAttempt,
      dueInMs: request.dueAtMs - nowMs,
      expiresInMs: request.expiresAtMs - nowMs,
    };
    const isLocalWorker = worker.address === this.#context.workerAddress;
    const attempt = await (isLocalWorker
      ? this.#sendToLocalWorker(hop, nowMs)
      : this.#sendToPeer(hop, worker));
    workerLoads.recordAttemptEnd(worker.id);
    if (FULL_REASONS.has(attempt.reason)) {
      workerLoads.recordRefusal(worker.id, priorityClassOf(request.route));
    }
    if (STALE_ADDRESS_REASONS.has(attempt.reason)) {
      workerLoads.markAddressStale(worker.id);
    }
    this.#recordAttempt(attempt);
    return attempt;
  }

  #recordAttempt(attempt: Attempt): void {
    // The retry budget is a share of the requests that were sent to a worker, so
    // requests that were refused before that must not add to it.
    if (attempt.outcome !== 'notSent' && this.#sentAttempts === 1) {
      this.#context.retryBudgets.countCall(this.#request.service);
    }
    if (attempt.outcome === 'notSent') {
      this.#sentAttempts--;
      this.#unsentAttempts++;
      this.#shortestWaitMs = Math.min(this.#shortestWaitMs, attempt.waitMs);
    } else if (attempt.outcome === 'failed') {
      this.#mayHaveRun = true;
      this.#failedResponse = attempt.response;
    } else if (attempt.outcome === 'unknown') {
      this.#mayHaveRun = true;
    }
  }

  async #sendToLocalWorker(hop: HopRequest, nowMs: number): Promise<Attempt> {
    const request = this.#request;
    const ticket = this.#context.workerGate.submit({
      worker: hop.worker,
      isIdempotent: hop.isIdempotent,
      scheduling: toQueuedRequest(hop, nowMs),
      method: request.method,
      url: request.url,
      headers: [...request.headers, wireHeaders.expectedWorker, hop.worker],
      body: request.body,
      requestId: request.id,
    });
    this.#cancelAttempt = () => ticket.cancel();
    const result = await ticket.result;
    this.#context.workerLoads.recordReport(
      hop.worker,
      this.#context.workerGate.load,
    );
    return toAttempt(result);
  }

  async #sendToPeer(hop: HopRequest, worker: MeshWorker): Promise<Attempt> {
    const {workerLoads, peerHealth, peerPools} = this.#context;
    const request = this.#request;
    const vmAddress = vmAddressOf(worker);
    const exchange = peerPools.poolFor(vmAddress).exchange({
      method: request.method,
      url: request.url,
      headers: [...request.headers, hopHeaders.request, encodeHopRequest(hop)],
      body: request.body,
      requestId: request.id,
      inactivityTimeoutMs: hop.isIdempotent
        ? HOP_INACTIVITY_TIMEOUT_MS
        : undefined,
    });
    this.#cancelAttempt = () => exchange.cancel();
    const result = await exchange.result;
    if (result.kind !== 'response') {
      if (result.reason !== 'cancelled') {
        peerHealth.markDown(vmAddress);
      }
      return failureToAttempt(result);
    }
    const hopResponse = decodeHopResponse(
      headerValue(result.headers, hopHeaders.response),
    );
    if (!hopResponse) {
      return {outcome: 'unknown', reason: 'noVerdict', waitMs: 0};
    }
    workerLoads.recordReport(worker.id, hopResponse.load);
    return toAttempt({...hopResponse, response: result});
  }
}

function failureToAttempt(failure: ExchangeFailure): Attempt {
  const {kind, reason, silentMs, receivedInterims, receivedBytes} = failure;
  const details = {
    silentMs: roundMs(silentMs),
    interims: receivedInterims,
    bytes: receivedBytes,
  };
  return {outcome: kind, reason, waitMs: 0, details};
}

const FULL_REASONS = new Set(['wouldBeLate', 'wouldExpire']);
const STALE_ADDRESS_REASONS = new Set(['421', 'workerGone']); // 421: another worker uses the address

function toAttempt(result: GateResult): Attempt {
  const {verdict, reason, response} = result;
  const waitMs = result.retryAfterMs;
  const details = gateTimes(result);
  if (verdict === 'answered') {
    const outcome = response!.status >= 500 ? 'failed' : 'answered';
    return {outcome, reason, waitMs, response, details};
  }
  return {outcome: verdict, reason, waitMs, details};
}
