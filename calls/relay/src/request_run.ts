import {
  headerValue,
  type ExchangeFailure,
  type ExchangeResponse,
} from '@carobseam/calls.exchange';
import {
  chooseWorker,
  decideNextStep,
  type AttemptOutcome,
  type Choice,
} from '@carobseam/calls.placement';
import {orderClassOf} from '@carobseam/calls.worker_queue';
import {
  vmAddressOf,
  type MeshRoute,
  type MeshWorker,
  type WorkerId,
} from '@carobseam/config.mesh';
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

const SILENCE_MS = 600; // two interim responses of the worker's relay may be late

/** A request as its caller sent it. */
export interface RunRequest {
  id: string | undefined;
  route: MeshRoute;
  service: ServiceName;
  method: string;
  url: string;
  headers: string[];
  body: Buffer | Readable;
  /** Whether the caller has no time to come back after a refusal. */
  isLastChance: boolean;
  /** When a response is late, on the monotonic clock, in ms. */
  dueMs: number;
  /** When the caller or the route stops waiting, on the same clock. */
  expiresMs: number;
}

/** How a request ended. */
export type RunEnd =
  | {kind: 'response'; response: ExchangeResponse; attempts: number}
  | {kind: 'refused'; reason: string; waitMs: number; serviceMs: number}
  | {kind: 'unknown'; reason: string};

interface Attempt {
  outcome: AttemptOutcome;
  reason: string;
  waitMs: number;
  response?: ExchangeResponse;
}

/** One request on its way through workers until it has an answer. */
export class RequestRun {
  readonly #context: RelayContext;
  readonly #request: RunRequest;
  readonly #tried = new Set<WorkerId>();
  #sends = 0;
  #offers = 0;
  #mayHaveRun = false;
  #hasCallerLeft = false;
  #shortestWaitMs = Infinity;
  #failedResponse?: ExchangeResponse;
  #callerLeft: () => void = () => {};

  constructor(context: RelayContext, request: RunRequest) {
    this.#context = context;
    this.#request = request;
  }

  /** Ends what the caller no longer waits for. */
  callerLeft(): void {
    this.#hasCallerLeft = true;
    this.#callerLeft();
  }

  /** Whether a worker may run the request or may have run it. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun || this.#sends > 0;
  }

  async run(): Promise<RunEnd> {
    for (;;) {
      const choice = this.#choose();
      if (!choice) {
        return this.#withoutWorker(this.#whyNoWorker(), this.#shortestWaitMs);
      }
      const attempt = await this.#attempt(choice);
      const end = this.#next(attempt, choice.worker);
      if (end) {
        return end;
      }
    }
  }

  #choose(): Choice | undefined {
    const context = this.#context;
    const request = this.#request;
    return chooseWorker({
      workers: context.state.workersOf(request.service),
      dataCentre: context.dataCentre,
      leftMs: request.dueMs - context.clock.monotonicMs(),
      targetLatencyMs: request.route.targetLatencyMs,
      estimate: worker =>
        context.workerLoads.estimate(worker, orderClassOf(request.route)),
      isUnreachable: worker => context.peerHealth.isDown(vmAddressOf(worker)),
      tried: this.#tried,
      random: context.random,
    });
  }

  #whyNoWorker(): string {
    const {state} = this.#context;
    const known = state.workersOf(this.#request.service).length;
    return known > this.#tried.size ? 'allFull' : 'noWorker';
  }

  /** Decides what follows an attempt; undefined to make another one. */
  #next(attempt: Attempt, worker: MeshWorker): RunEnd | undefined {
    const {retryBudgets: budgets, clock, log, state} = this.#context;
    const {route, service} = this.#request;
    const step = decideNextStep({
      outcome: attempt.outcome,
      // Streams can be sent, and kept for delivery, only once.
      isIdempotent:
        route.isIdempotent &&
        !(this.#request.body instanceof Readable) &&
        !(attempt.response?.body instanceof Readable),
      sends: this.#sends,
      maxAttempts: route.maxAttempts,
      mayHaveRun: this.#mayHaveRun,
      offers: this.#offers,
      leftMs: this.#request.expiresMs - clock.monotonicMs(),
      takeRepeat: () => {
        const isTaken = !this.#hasCallerLeft && budgets.take(service);
        if (!isTaken) {
          log.retryBudgetExhausted(service);
        }
        return isTaken;
      },
    });
    if (attempt.outcome !== 'answered') {
      log.attemptFailed(attempt.outcome, {
        id: this.#request.id,
        worker: worker.id,
        dataCentre: worker.dataCentre,
        reason: attempt.reason,
        sends: this.#sends,
        offers: this.#offers,
        version: state.config?.version,
        outcome: step,
      });
    }
    return this.#end(step, attempt);
  }

  #end(
    step: ReturnType<typeof decideNextStep>,
    attempt: Attempt,
  ): RunEnd | undefined {
    if (step === 'deliver') {
      return this.#deliver(attempt.response!);
    }
    if (step === 'refuse') {
      return this.#withoutWorker(attempt.reason, this.#shortestWaitMs);
    }
    if (step === 'reportUnknown' || this.#hasCallerLeft) {
      return this.#failedResponse
        ? this.#deliver(this.#failedResponse)
        : {kind: 'unknown', reason: attempt.reason};
    }
    return undefined;
  }

  #deliver(response: ExchangeResponse): RunEnd {
    return {kind: 'response', response, attempts: this.#sends};
  }

  #withoutWorker(reason: string, waitMs: number): RunEnd {
    if (this.#failedResponse) {
      return this.#deliver(this.#failedResponse);
    }
    if (this.#mayHaveRun) {
      return {kind: 'unknown', reason};
    }
    const serviceMs = this.#request.route.targetLatencyMs / 2;
    const knownWaitMs = Number.isFinite(waitMs) ? waitMs : serviceMs;
    return {kind: 'refused', reason, waitMs: knownWaitMs, serviceMs};
  }

  async #attempt(choice: Choice): Promise<Attempt> {
    const {worker} = choice;
    const {clock, workerLoads: loads, log, state} = this.#context;
    const request = this.#request;
    const nowMs = clock.monotonicMs();
    log.requestPlaced({
      id: request.id,
      route: request.route.name,
      worker: worker.id,
      dataCentre: worker.dataCentre,
      reason: choice.reason,
      expectedMs: Math.round(choice.expectedMs),
      leftMs: Math.round(request.expiresMs - nowMs),
      version: state.config?.version,
    });
    this.#tried.add(worker.id);
    this.#sends++;
    loads.sent(worker.id);
    const hop: HopRequest = {
      worker: worker.id,
      isIdempotent: request.route.isIdempotent,
      rank: request.route.rank,
      isLastChance: request.isLastChance,
      dueInMs: request.dueMs - nowMs,
      expiresInMs: request.expiresMs - nowMs,
    };
    const isBeside = worker.address === this.#context.workerAddress;
    const attempt = await (isBeside
      ? this.#sendBeside(hop, nowMs)
      : this.#sendOver(hop, worker));
    loads.finished(worker.id);
    if (FULL_REASONS.has(attempt.reason)) {
      loads.refused(worker.id, orderClassOf(request.route));
    }
    if (MISPLACED_REASONS.has(attempt.reason)) {
      loads.markAddressStale(worker.id);
    }
    this.#count(attempt);
    return attempt;
  }

  #count(attempt: Attempt): void {
    // Refused requests start no calls, so they must not add to the budget.
    if (attempt.outcome !== 'notSent' && this.#sends === 1) {
      this.#context.retryBudgets.countCall(this.#request.service);
    }
    if (attempt.outcome === 'notSent') {
      this.#sends--;
      this.#offers++;
      this.#shortestWaitMs = Math.min(this.#shortestWaitMs, attempt.waitMs);
    } else if (attempt.outcome === 'failed') {
      this.#mayHaveRun = true;
      this.#failedResponse = attempt.response;
    } else if (attempt.outcome === 'unknown') {
      this.#mayHaveRun = true;
    }
  }

  async #sendBeside(hop: HopRequest, nowMs: number): Promise<Attempt> {
    const request = this.#request;
    const ticket = this.#context.workerGate.take({
      worker: hop.worker,
      isIdempotent: hop.isIdempotent,
      queue: toQueuedRequest(hop, nowMs),
      method: request.method,
      url: request.url,
      headers: [...request.headers, wireHeaders.expectedWorker, hop.worker],
      body: request.body,
      requestId: request.id,
    });
    this.#callerLeft = () => ticket.callerLeft();
    const result = await ticket.result;
    this.#context.workerLoads.reported(
      hop.worker,
      this.#context.workerGate.load,
    );
    return toAttempt(result);
  }

  async #sendOver(hop: HopRequest, worker: MeshWorker): Promise<Attempt> {
    const {
      workerLoads: loads,
      peerHealth: peers,
      peerPools: pools,
    } = this.#context;
    const request = this.#request;
    const vmAddress = vmAddressOf(worker);
    const exchange = pools.to(vmAddress).exchange({
      method: request.method,
      url: request.url,
      headers: [...request.headers, hopHeaders.request, encodeHopRequest(hop)],
      body: request.body,
      requestId: request.id,
      silenceMs: hop.isIdempotent ? SILENCE_MS : undefined,
    });
    this.#callerLeft = () => exchange.cancel();
    const result = await exchange.result;
    if (result.kind !== 'response') {
      if (result.reason !== 'cancelled') {
        peers.failed(vmAddress);
      }
      return failureToAttempt(result);
    }
    const verdict = decodeHopResponse(
      headerValue(result.headers, hopHeaders.response),
    );
    if (!verdict) {
      return {outcome: 'unknown', reason: 'noVerdict', waitMs: 0};
    }
    loads.reported(worker.id, verdict.load);
    return toAttempt({...verdict, response: result});
  }
}

function failureToAttempt(failure: ExchangeFailure): Attempt {
  return {outcome: failure.kind, reason: failure.reason, waitMs: 0};
}

const FULL_REASONS = new Set(['wouldBeLate', 'wouldExpire']);
const MISPLACED_REASONS = new Set(['421', 'workerGone']);

function toAttempt(result: GateResult): Attempt {
  const {verdict, reason, response} = result;
  const waitMs = result.retryAfterMs;
  if (verdict === 'answered') {
    const outcome = response!.status >= 500 ? 'failed' : 'answered';
    return {outcome, reason, waitMs, response};
  }
  return {outcome: verdict, reason, waitMs};
}
