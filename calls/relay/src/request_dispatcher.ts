import {
  discardResponse,
  headerValue,
  type ExchangeFailure,
  type ExchangeResponse,
} from '@carobseam/calls.exchange';
import {
  chooseWorker,
  decideNextStep,
  type AttemptOutcome,
  type NextStep,
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
import type {GateResult} from './worker_gate.js';

const SILENCE_INTERVAL_MS = 300; // half of the time until a hop counts as silent, so that a denied retry is tried again soon
const SILENT_HOP_MS = 600; // the worker's relay sends an interim response every 200 ms; two may be late
const DEAD_CONNECTION_MS = 1000; // a relay that answers probes sends an interim response well within this time

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

interface AttemptResult {
  outcome: AttemptOutcome;
  reason: string;
  waitMs: number;
  response?: ExchangeResponse;
}

/** An attempt in progress. */
interface Attempt {
  worker: MeshWorker;
  cancel: () => void;
  /** When the hop was first found silent, on the monotonic clock, in ms. */
  silentSinceMs?: number;
  /** Whether another attempt was started because this one is silent. */
  isHedged: boolean;
}

/**
 * Dispatches one request: sends it to a worker and retries with other workers
 * until there is a response or no further attempt is allowed. An attempt whose
 * hop is silent stays in progress beside its retry, because a relay that is
 * short of processor time may have the request run and still respond.
 */
export class RequestDispatcher {
  readonly #context: RelayContext;
  readonly #request: DispatchedRequest;
  readonly #triedWorkerIds = new Set<WorkerId>();
  readonly #attempts = new Set<Attempt>();
  #sentAttempts = 0;
  #unsentAttempts = 0;
  #mayHaveRun = false;
  #isCountedForBudget = false;
  #isCancelled = false;
  #isSettled = false;
  #shortestWaitMs = Infinity;
  #failedResponse?: ExchangeResponse;
  #resolve: (result: DispatchResult) => void = () => {};

  constructor(context: RelayContext, request: DispatchedRequest) {
    this.#context = context;
    this.#request = request;
  }

  /** Cancels the attempts in progress and prevents retries. */
  cancel(): void {
    this.#isCancelled = true;
    this.#cancelAttempts();
  }

  /** Whether a worker may have run the request or may still run it. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun || this.#sentAttempts > 0;
  }

  /** Sends the request; must be called once. */
  dispatch(): Promise<DispatchResult> {
    return new Promise(resolve => {
      this.#resolve = resolve;
      this.#startAttempt();
    });
  }

  /** Sends the request to the next worker, if there is one. */
  #startAttempt(): void {
    const choice = this.#chooseWorker();
    if (choice) {
      void this.#makeAttempt(choice);
    } else if (this.#attempts.size === 0) {
      this.#settle(this.#giveUp(this.#noWorkerReason(), this.#shortestWaitMs));
    }
  }

  #settle(result: DispatchResult): void {
    this.#isSettled = true;
    this.#resolve(result);
    this.#cancelAttempts();
  }

  #cancelAttempts(): void {
    this.#attempts.forEach(attempt => attempt.cancel());
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

  #handleResult(attempt: Attempt, result: AttemptResult): void {
    if (this.#isSettled) {
      discardResponse(result.response);
      return;
    }
    const step = this.#decideNextStep(result);
    if (result.outcome !== 'answered') {
      this.#context.log.attemptFailed(result.outcome, {
        ...this.#describe(attempt),
        reason: result.reason,
        outcome: step,
      });
    }
    this.#takeStep(step, result);
  }

  #decideNextStep(result: AttemptResult): NextStep {
    const {retryBudgets, clock, log} = this.#context;
    const {route, service, body, expiresAtMs} = this.#request;
    return decideNextStep({
      outcome: result.outcome,
      // A streamed request body can be sent only once, and a streamed response
      // cannot be kept for delivery after a retry.
      isIdempotent:
        route.isIdempotent &&
        !(body instanceof Readable) &&
        !(result.response?.body instanceof Readable),
      sentAttempts: this.#sentAttempts,
      maxAttempts: route.maxAttempts,
      mayHaveRun: this.#mayHaveRun,
      unsentAttempts: this.#unsentAttempts,
      expiresInMs: expiresAtMs - clock.monotonicMs(),
      takeRetry: () => {
        const isTaken = !this.#isCancelled && retryBudgets.take(service);
        if (!isTaken) {
          log.retryBudgetExhausted(service);
        }
        return isTaken;
      },
    });
  }

  #takeStep(step: NextStep, result: AttemptResult): void {
    if (step === 'sendAgain' && !this.#isCancelled) {
      this.#startAttempt();
      return;
    }
    const isFinal =
      result.outcome === 'answered' ||
      result.response?.body instanceof Readable;
    if (this.#attempts.size > 0 && !isFinal) {
      return; // another attempt may still bring a better response
    }
    this.#settle(this.#finalResult(step, result));
  }

  #finalResult(step: NextStep, result: AttemptResult): DispatchResult {
    if (step === 'deliver') {
      return this.#deliver(result.response!);
    }
    if (step === 'refuse') {
      return this.#giveUp(result.reason, this.#shortestWaitMs);
    }
    return this.#failedResponse
      ? this.#deliver(this.#failedResponse)
      : {kind: 'unknown', reason: result.reason};
  }

  /** Log fields that identify an attempt. */
  #describe(attempt: Attempt): LogFields {
    return {
      id: this.#request.id,
      worker: attempt.worker.id,
      dataCentre: attempt.worker.dataCentre,
      sends: this.#sentAttempts,
      offers: this.#unsentAttempts,
      version: this.#context.state.config?.version,
    };
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

  async #makeAttempt(choice: WorkerChoice): Promise<void> {
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
    const attempt: Attempt = {worker, cancel: () => {}, isHedged: false};
    this.#attempts.add(attempt);
    const isLocalWorker = worker.address === this.#context.workerAddress;
    const result = await (isLocalWorker
      ? this.#sendToLocalWorker(attempt, hop, nowMs)
      : this.#sendToPeer(attempt, hop));
    this.#attempts.delete(attempt);
    workerLoads.recordAttemptEnd(worker.id);
    if (FULL_REASONS.has(result.reason)) {
      workerLoads.recordRefusal(worker.id, priorityClassOf(request.route));
    }
    if (STALE_ADDRESS_REASONS.has(result.reason)) {
      workerLoads.markAddressStale(worker.id);
    }
    this.#recordResult(result);
    this.#handleResult(attempt, result);
  }

  #recordResult(result: AttemptResult): void {
    // The retry budget is a share of the requests that were sent to a worker, so
    // requests that were refused before that must not add to it.
    if (result.outcome !== 'notSent' && !this.#isCountedForBudget) {
      this.#isCountedForBudget = true;
      this.#context.retryBudgets.countCall(this.#request.service);
    }
    if (result.outcome === 'notSent') {
      this.#sentAttempts--;
      this.#unsentAttempts++;
      this.#shortestWaitMs = Math.min(this.#shortestWaitMs, result.waitMs);
    } else if (result.outcome === 'failed') {
      this.#mayHaveRun = true;
      this.#failedResponse = result.response;
    } else if (result.outcome === 'unknown') {
      this.#mayHaveRun = true;
    }
  }

  async #sendToLocalWorker(
    attempt: Attempt,
    hop: HopRequest,
    nowMs: number,
  ): Promise<AttemptResult> {
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
    attempt.cancel = () => ticket.cancel();
    const result = await ticket.result;
    this.#context.workerLoads.recordReport(
      hop.worker,
      this.#context.workerGate.load,
    );
    return toAttemptResult(result);
  }

  async #sendToPeer(attempt: Attempt, hop: HopRequest): Promise<AttemptResult> {
    const {workerLoads, peerHealth, peerPools} = this.#context;
    const request = this.#request;
    const vmAddress = vmAddressOf(attempt.worker);
    const exchange = peerPools.poolFor(vmAddress).exchange({
      method: request.method,
      url: request.url,
      headers: [...request.headers, hopHeaders.request, encodeHopRequest(hop)],
      body: request.body,
      requestId: request.id,
      silenceWatch: {
        intervalMs: SILENCE_INTERVAL_MS,
        onSilent: silentMs =>
          silentMs < SILENT_HOP_MS
            ? 'wait'
            : this.#handleSilence(attempt, silentMs),
      },
    });
    attempt.cancel = () => exchange.cancel();
    const result = await exchange.result;
    if (result.kind !== 'response') {
      if (result.reason !== 'cancelled') {
        peerHealth.markDown(vmAddress);
      }
      return failureToAttemptResult(result);
    }
    const hopResponse = decodeHopResponse(
      headerValue(result.headers, hopHeaders.response),
    );
    if (!hopResponse) {
      return {outcome: 'unknown', reason: 'noVerdict', waitMs: 0};
    }
    workerLoads.recordReport(attempt.worker.id, hopResponse.load);
    return toAttemptResult({...hopResponse, response: result});
  }

  /**
   * Handles a hop without any byte for some time. Silence alone does not end the
   * attempt: the request may be running on the worker behind a relay that is
   * short of processor time. A retry may be made beside it.
   */
  #handleSilence(attempt: Attempt, silentMs: number): 'wait' | 'end' {
    const {clock, peerHealth} = this.#context;
    const vmAddress = vmAddressOf(attempt.worker);
    if (attempt.silentSinceMs === undefined) {
      attempt.silentSinceMs = clock.monotonicMs();
      peerHealth.markDown(vmAddress);
    }
    if (
      this.#request.route.isIdempotent &&
      this.#isHopDead(vmAddress, attempt.silentSinceMs)
    ) {
      return 'end';
    }
    if (!attempt.isHedged) {
      this.#hedge(attempt, silentMs);
    }
    return 'wait';
  }

  /**
   * Whether no response can come any more: the VM cannot be reached, or its
   * relay responds on new connections but not on that of the attempt.
   */
  #isHopDead(vmAddress: string, silentSinceMs: number): boolean {
    const {clock, peerHealth} = this.#context;
    const answeredMs = peerHealth.lastAnswerMs(vmAddress);
    return (
      peerHealth.isUnreachable(vmAddress) ||
      (answeredMs >= silentSinceMs &&
        clock.monotonicMs() - answeredMs >= DEAD_CONNECTION_MS)
    );
  }

  /** Starts another attempt beside a silent one, if a retry is allowed. */
  #hedge(attempt: Attempt, silentMs: number): void {
    const step = this.#decideNextStep({
      outcome: 'unknown',
      reason: 'silent',
      waitMs: 0,
    });
    attempt.isHedged = step === 'sendAgain';
    if (attempt.isHedged || silentMs === SILENT_HOP_MS) {
      this.#context.log.hopSilent({
        ...this.#describe(attempt),
        silentMs,
        outcome: attempt.isHedged ? 'hedged' : 'waiting',
      });
    }
    if (attempt.isHedged) {
      this.#startAttempt();
    }
  }
}

function failureToAttemptResult(failure: ExchangeFailure): AttemptResult {
  return {outcome: failure.kind, reason: failure.reason, waitMs: 0};
}

const FULL_REASONS = new Set(['wouldBeLate', 'wouldExpire']);
const STALE_ADDRESS_REASONS = new Set(['421', 'workerGone']); // 421: another worker uses the address

function toAttemptResult(result: GateResult): AttemptResult {
  const {verdict, reason, response} = result;
  const waitMs = result.retryAfterMs;
  if (verdict === 'answered') {
    const outcome = response!.status >= 500 ? 'failed' : 'answered';
    return {outcome, reason, waitMs, response};
  }
  return {outcome: verdict, reason, waitMs};
}
