import {
  discardResponse,
  type ExchangeResponse,
} from '@carobseam/calls.exchange';
import {
  chooseWorker,
  decideNextStep,
  retryDenialOf,
  type NextStep,
  type StepInputs,
  type WorkerChoice,
} from '@carobseam/calls.placement';
import {priorityClassOf} from '@carobseam/calls.worker_queue';
import {
  vmAddressOf,
  type MeshRoute,
  type WorkerId,
} from '@carobseam/config.mesh';
import type {LogFields} from '@carobseam/core.logger';
import {Readable} from 'node:stream';
import {Attempt} from './attempt.js';
import {
  FULL_REASONS,
  QUARANTINED,
  STALE_ADDRESS_REASONS,
  WORKER_DOWN,
  type AttemptResult,
} from './attempt_result.js';
import type {DispatchedRequest, DispatchResult} from './dispatched_request.js';
import type {RelayContext} from './relay_context.js';

const MAX_DOWN_WORKERS = 8; // each takes a few ms to find out
const SERVICE_SHARE = 0.5; // of the target latency
const GUESSED_SERVICE_SHARE = 1 / 3; // of the target latency; callers set targets of a few service times

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
  /** Workers that were found to be down. */
  #downWorkers = 0;
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
    if (this.#context.quarantine?.isRefused(this.#request)) {
      this.#settle(this.#quarantine());
      return;
    }
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
        context.workerLoads.estimate(
          worker,
          priorityClassOf(request.route),
          request.route.targetLatencyMs * GUESSED_SERVICE_SHARE,
        ),
      isUnreachable: worker => context.peerHealth.isDown(vmAddressOf(worker)),
      isCutOff: worker =>
        worker.address !== context.workerAddress &&
        context.peerHealth.isCutOff(vmAddressOf(worker)),
      hasLeft: worker => context.workerLoads.hasLeft(worker),
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
    if (result.reason === QUARANTINED) {
      this.#settle(this.#quarantine());
      return;
    }
    const inputs = this.#stepInputs(result);
    const step = this.#decideNextStep(inputs);
    if (result.outcome !== 'answered') {
      this.#context.log.attemptFailed(result.outcome, {
        ...this.#describe(attempt),
        reason: result.reason,
        ...result.details,
        outcome: step,
        retryDenied: this.#retryDenialAfter(step, inputs),
      });
    }
    this.#takeStep(step, result);
  }

  #stepInputs(result: AttemptResult): Omit<StepInputs, 'takeRetry'> {
    const {route, body, expiresAtMs} = this.#request;
    return {
      outcome: result.outcome,
      // A streamed request body can be sent only once, and a streamed response
      // cannot be kept for delivery after a retry.
      isIdempotent:
        route.isIdempotent &&
        !(body instanceof Readable) &&
        !(result.response?.body instanceof Readable),
      canResend: !(body instanceof Readable && Readable.isDisturbed(body)),
      sentAttempts: this.#sentAttempts,
      maxAttempts: route.maxAttempts,
      mayHaveRun: this.#mayHaveRun,
      unsentAttempts: this.#unsentAttempts,
      expiresInMs: expiresAtMs - this.#context.clock.monotonicMs(),
    };
  }

  #decideNextStep(inputs: Omit<StepInputs, 'takeRetry'>): NextStep {
    const {retryBudgets, log} = this.#context;
    const {service} = this.#request;
    return decideNextStep({
      ...inputs,
      takeRetry: () => {
        const isTaken = !this.#isCancelled && retryBudgets.take(service);
        if (!isTaken && !this.#isCancelled) {
          log.retryBudgetExhausted(service);
        }
        return isTaken;
      },
    });
  }

  #retryDenialAfter(
    step: NextStep,
    inputs: Omit<StepInputs, 'takeRetry'>,
  ): string | undefined {
    if (this.#isCancelled) {
      return 'cancelled';
    }
    return step === 'sendAgain' ? undefined : retryDenialOf(inputs);
  }

  #takeStep(step: NextStep, result: AttemptResult): void {
    if (step === 'sendAgain' && !this.#isCancelled) {
      this.#startAttempt();
      return;
    }
    if (this.#attempts.size > 0 && step !== 'deliver') {
      return; // another attempt may still bring a response
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

  #quarantine(): DispatchResult {
    return this.#failedResponse
      ? this.#deliver(this.#failedResponse)
      : {kind: this.mayHaveRun ? 'unknown' : QUARANTINED, reason: QUARANTINED};
  }

  /** Log fields that identify an attempt. */
  #describe(attempt: Attempt): LogFields {
    const {clock, state} = this.#context;
    return {
      id: this.#request.id,
      worker: attempt.worker.id,
      vmAddress: vmAddressOf(attempt.worker),
      dataCentre: attempt.worker.dataCentre,
      durationMs: Math.round(clock.monotonicMs() - attempt.startMs),
      sends: this.#sentAttempts,
      offers: this.#unsentAttempts,
      version: state.config?.version,
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
    const serviceMs = expectedServiceMs(this.#request.route);
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
    const attempt = new Attempt({
      context: this.#context,
      request,
      worker,
      isResent: this.#mayHaveRun,
      onSilent: (silentMs, isFirst) => this.#hedge(attempt, silentMs, isFirst),
    });
    this.#attempts.add(attempt);
    const result = await attempt.send();
    this.#attempts.delete(attempt);
    workerLoads.recordAttemptEnd(worker.id);
    if (FULL_REASONS.has(result.reason)) {
      workerLoads.recordRefusal(worker.id, priorityClassOf(request.route));
    }
    if (result.reason === WORKER_DOWN) {
      workerLoads.recordDown(worker.id);
    } else if (result.outcome === 'answered') {
      workerLoads.recordUp(worker.id);
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
      this.#countUnsent(result.reason);
      this.#shortestWaitMs = Math.min(this.#shortestWaitMs, result.waitMs);
    } else if (result.outcome === 'failed') {
      this.#mayHaveRun = true;
      this.#failedResponse = result.response;
    } else if (result.outcome === 'unknown') {
      this.#mayHaveRun = true;
    }
  }

  #countUnsent(reason: string): void {
    // A worker that is down says nothing about the load of the others.
    if (reason === WORKER_DOWN && this.#downWorkers < MAX_DOWN_WORKERS) {
      this.#downWorkers++;
    } else {
      this.#unsentAttempts++;
    }
  }

  /** Starts another attempt beside a silent one, if a retry is allowed. */
  #hedge(attempt: Attempt, silentMs: number, isFirst: boolean): void {
    if (attempt.isHedged) {
      return;
    }
    const inputs = this.#stepInputs({
      outcome: 'unknown',
      reason: 'silent',
      waitMs: 0,
    });
    const choice = this.#chooseWorker();
    const step = choice ? this.#decideNextStep(inputs) : 'reportUnknown';
    attempt.isHedged = step === 'sendAgain';
    if (attempt.isHedged || isFirst) {
      this.#context.log.hopSilent({
        ...this.#describe(attempt),
        silentMs,
        outcome: attempt.isHedged ? 'hedged' : 'waiting',
        retryDenied: choice
          ? this.#retryDenialAfter(step, inputs)
          : this.#noWorkerReason(),
      });
    }
    if (choice && attempt.isHedged) {
      void this.#makeAttempt(choice);
    }
  }
}

/** Expected time from the work of this relay to the response, in ms. */
export function expectedServiceMs(route: MeshRoute): number {
  return route.targetLatencyMs * SERVICE_SHARE;
}
