import {
  refusalReasonForKey,
  type StoredResponse,
} from '@carobseam/calls.at_most_once';
import {
  callHeaders,
  formatLoad,
  refusalDefinitions,
  type RefusalReason,
} from '@carobseam/calls.types';
import type {Timer, VmId} from '@carobseam/core.types';
import type {WorkerEndpoint} from '@carobseam/fleet.types';
import type {
  IncomingMessage,
  OutgoingHttpHeaders,
  ServerResponse,
} from 'node:http';
import type {Attempt, AttemptFailure, AttemptListener} from './attempt.js';
import type {CallData} from './call_data.js';
import type {CallDependencies} from './call_dependencies.js';
import {chooseOwner} from './choose_owner.js';
import {PeerAttempt} from './peer_attempt.js';
import {breakOff, forwardResponse} from './forward_response.js';
import {recordWorkerFailure} from './record_worker_failure.js';
import {recordWorkerLoad} from './record_worker_load.js';
import {sendRefusal} from './send_refusal.js';
import {WorkerAttempt} from './worker_attempt.js';

type Outcome = 'completed' | 'refused' | 'cancelled' | 'broken';

const SHED_STATUS = 503;

export interface CallOptions {
  deps: CallDependencies;
  data: CallData;
  res: ServerResponse;
  /** Whether a peer forwarded the call to this daemon's local worker. */
  isForwarded: boolean;
  onFinished: (call: Call) => void;
}

/**
 * One call, from its arrival at this daemon to the end of its response. The
 * entry daemon, to which the caller sent it, chooses a worker and retries. A
 * daemon that received it from a peer only runs it on its local worker. A call
 * with an idempotency key (keyed call) goes to the key's owner, without
 * retries.
 */
export class Call implements AttemptListener {
  readonly #options: CallOptions;
  readonly #triedVmIds: VmId[] = [];
  #timer?: Timer;
  #attempt?: Attempt;
  #worker?: WorkerEndpoint;
  /** Worker that is to replace the one that is silent. */
  #reservedRetry?: WorkerEndpoint;
  #isWorkerSilent = false;
  /** First failure after which a worker may have run the request. */
  #unknownReason?: RefusalReason;
  #retryCount = 0;
  #isFinished = false;

  constructor(options: CallOptions) {
    this.#options = options;
  }

  /** The caller's request. */
  get req(): IncomingMessage {
    return this.#options.data.req;
  }

  get isForwarded(): boolean {
    return this.#options.isForwarded;
  }

  /** Whether the worker has sent nothing within the first-byte timeout. */
  get isWorkerSilent(): boolean {
    return this.#isWorkerSilent;
  }

  start(): void {
    const {deps, data, res, isForwarded} = this.#options;
    const {policy} = data.resolved;
    res.on('close', () => this.#onCallerClose());
    this.#timer = deps.clock.setTimer(
      data.deadlineMs - deps.clock.monotonicMs(),
      () => this.#giveUp(),
    );
    if (!isForwarded && !data.key) {
      deps.retryDecider.countCall(policy);
    }
    data.body.prepare(() => this.#startFirstAttempt());
  }

  /** Ends the call because the shutdown timeout has passed. */
  interrupt(): void {
    this.#giveUp();
  }

  onResponse(response: IncomingMessage): void {
    const attempt = this.#attempt!;
    this.#isWorkerSilent = false;
    if (this.#worker) {
      recordWorkerLoad(this.#options.deps, this.#worker, response.headers);
    }
    if (this.#retryAfterShed(response)) {
      return;
    }
    const {data, res} = this.#options;
    forwardResponse({
      method: data.method,
      response,
      res,
      headers: this.#addLeavingHeaders(attempt.responseHeaders(response)),
      onComplete: body => this.#onComplete(attempt, response, body),
      onIncomplete: isPartlySent => this.#onTruncated(attempt, isPartlySent),
    });
  }

  onStoredResponse(stored: StoredResponse): void {
    const {res, data} = this.#options;
    this.#attempt = undefined;
    if (!stored.body) {
      this.#refuse('owner_unknown', {isKeyReason: true});
      return;
    }
    if (!res.destroyed) {
      const headers: OutgoingHttpHeaders = {...stored.headers};
      headers[callHeaders.version] = data.resolved.snapshot.version;
      res.writeHead(stored.statusCode, this.#addLeavingHeaders(headers));
      res.end(stored.body);
    }
    this.#finish('completed');
  }

  onFailure(failure: AttemptFailure): void {
    if (this.#isFinished) {
      return;
    }
    this.#attempt = undefined;
    this.#recordFailure(failure);
    const worker = this.#reservedRetry ?? this.#chooseRetry(failure);
    this.#reservedRetry = undefined;
    if (worker) {
      this.#retryCount++;
      this.#options.data.resent = true;
      this.#attemptOn(worker);
      return;
    }
    this.#refuse(failure.reason, {
      retryAfterMs: failure.retryAfterMs,
      isKeyReason: failure.isStatedByOwner,
      retried: !this.#options.isForwarded || failure.retriedBefore,
    });
  }

  onSilent(): boolean {
    this.#isWorkerSilent = true;
    this.#reservedRetry = this.#chooseRetry({reason: 'response_timeout'});
    return this.#reservedRetry !== undefined;
  }

  #startFirstAttempt(): void {
    const {deps, data, isForwarded} = this.#options;
    if (this.#isFinished) {
      return;
    }
    if (isForwarded) {
      this.#startAttempt(new WorkerAttempt(deps.localWorker, data, this));
    } else if (data.key) {
      this.#attemptOnOwner();
    } else {
      const worker = this.#chooseWorker();
      if (worker) {
        this.#attemptOn(worker);
      } else {
        this.#refuse('no_worker', {retried: true});
      }
    }
  }

  /** Sends a call with an idempotency key to the owner of the key. */
  #attemptOnOwner(): void {
    const {deps, data} = this.#options;
    const decision = chooseOwner(deps, data);
    if (decision.kind === 'worker') {
      this.#attemptOn(decision.worker);
    } else {
      const {reason, isKeyReason} = decision;
      this.#refuse(reason, {isKeyReason, retried: true});
    }
  }

  #chooseWorker(): WorkerEndpoint | undefined {
    const {deps, data} = this.#options;
    const {service, policy} = data.resolved;
    const workers = deps.blackboard.read('endpoints').get(service.name);
    return deps.loadBalancer.chooseWorker(workers, {
      allowOtherDataCentres: policy.allowOtherDataCentres,
      triedVmIds: this.#worker
        ? [...this.#triedVmIds, this.#worker.vmId]
        : this.#triedVmIds,
    });
  }

  #attemptOn(worker: WorkerEndpoint): void {
    const {deps, data} = this.#options;
    this.#worker = worker;
    deps.loadBalancer.recordCallStart(worker.vmId);
    if (worker.vmId === deps.vmId) {
      this.#startAttempt(new WorkerAttempt(deps.localWorker, data, this));
      return;
    }
    this.#startAttempt(
      new PeerAttempt({
        worker,
        callId: deps.createCallId(),
        agent: deps.peerAgent,
        clock: deps.clock,
        metrics: deps.metrics,
        data,
        listener: this,
      }),
    );
  }

  #startAttempt(attempt: Attempt): void {
    this.#attempt = attempt;
    attempt.start();
  }

  #recordFailure({reason, canRetrySameWorker}: AttemptFailure): void {
    if (isOutcomeUnknown(reason)) {
      this.#unknownReason ??= reason;
    }
    const worker = this.#releaseWorker();
    if (!worker) {
      return;
    }
    if (!canRetrySameWorker) {
      this.#triedVmIds.push(worker.vmId);
    }
    recordWorkerFailure(this.#options.deps, worker, reason);
  }

  #chooseRetry(failure: AttemptFailure): WorkerEndpoint | undefined {
    const {deps, data, isForwarded, res} = this.#options;
    // Only the entry daemon retries, and another worker must not execute a
    // request with an idempotency key.
    if (isForwarded || data.key || res.destroyed || res.headersSent) {
      return undefined;
    }
    const worker = this.#chooseWorker();
    const isAllowed =
      worker &&
      deps.retryDecider.decide({
        reason: failure.reason,
        retryCount: this.#retryCount,
        repeatable: data.resolved.route.repeatable,
        policy: data.resolved.policy,
        deadlineMs: data.deadlineMs,
        retriedBefore: failure.retriedBefore ?? false,
        isBodyBuffered: data.body.isBuffered,
      });
    return isAllowed ? worker : undefined;
  }

  /** Retries a call that the worker refused with a 503; false if it cannot. */
  #retryAfterShed(response: IncomingMessage): boolean {
    const isRetried = response.headers[callHeaders.retried] !== undefined;
    if (response.statusCode !== SHED_STATUS || isRetried || !this.#worker) {
      return false;
    }
    this.#triedVmIds.push(this.#worker.vmId);
    this.#unknownReason ??= 'worker_shed';
    const worker = this.#chooseRetry({reason: 'worker_shed'});
    if (!worker) {
      return false;
    }
    response.on('error', () => {});
    response.resume();
    this.#attempt!.complete(response, undefined);
    this.#releaseWorker();
    this.#retryCount++;
    this.#attemptOn(worker);
    return true;
  }

  #onComplete(
    attempt: Attempt,
    response: IncomingMessage,
    body: Buffer | undefined,
  ): void {
    if (this.#attempt !== attempt) {
      return;
    }
    attempt.complete(response, body);
    const worker = this.#releaseWorker();
    if (worker) {
      this.#options.deps.loadBalancer.recordSuccess(worker.vmId);
    }
    this.#finish('completed');
  }

  #onTruncated(attempt: Attempt, isPartlySent: boolean): void {
    if (this.#attempt !== attempt || this.#isFinished) {
      return;
    }
    attempt.handleTruncatedResponse();
    if (!isPartlySent) {
      this.onFailure({reason: 'response_incomplete', isStatedByOwner: true});
      return;
    }
    this.#recordFailure({reason: 'response_incomplete'});
    breakOff(this.#options.res);
    this.#finish('broken');
  }

  #onCallerClose(): void {
    if (this.#isFinished || this.#attempt?.continuesWithoutCaller) {
      return;
    }
    this.#attempt?.cancel();
    this.#finish('cancelled');
  }

  /** Ends the call without waiting any longer for the worker's response. */
  #giveUp(): void {
    const {res} = this.#options;
    const reason = this.#attempt?.cancel() ?? 'deadline_exceeded';
    this.#attempt = undefined;
    if (isOutcomeUnknown(reason)) {
      this.#recordFailure({reason});
    }
    if (res.headersSent) {
      breakOff(res);
      this.#finish('broken');
      return;
    }
    this.#refuse(reason, {retried: !this.#options.isForwarded});
  }

  #refuse(
    reason: RefusalReason,
    details: {isKeyReason?: boolean; retried?: boolean; retryAfterMs?: number},
  ): void {
    const {deps, data, res} = this.#options;
    const needsKeyedReason = data.key !== undefined && !details.isKeyReason;
    const statedReason = needsKeyedReason
      ? refusalReasonForKey(reason, data.firstSend)
      : this.#reasonAfterRetries(reason);
    const {kind} = refusalDefinitions[statedReason];
    deps.metrics.increment('carobseam_refusals_total', {
      refusal: kind,
      reason: statedReason,
    });
    if (!res.destroyed && !res.headersSent) {
      sendRefusal(
        res,
        statedReason,
        details.retryAfterMs,
        this.#refusalHeaders(details),
      );
    }
    this.#finish('refused');
  }

  /** No refusal may promise `not-run` after an attempt that may have run. */
  #reasonAfterRetries(reason: RefusalReason): RefusalReason {
    return isOutcomeUnknown(reason) ? reason : (this.#unknownReason ?? reason);
  }

  #refusalHeaders(details: {retried?: boolean}): OutgoingHttpHeaders {
    const {deps, data, isForwarded} = this.#options;
    const headers: OutgoingHttpHeaders = {
      [callHeaders.version]: data.resolved.snapshot.version,
    };
    if (details.retried) {
      headers[callHeaders.retried] = '1';
    }
    if (isForwarded) {
      headers[callHeaders.load] = formatLoad(deps.localWorker.admission.load());
    }
    if (!data.req.complete) {
      // The rest of the request body is not read, so the connection cannot be
      // reused.
      headers.connection = 'close';
    }
    return this.#addLeavingHeaders(headers);
  }

  #addLeavingHeaders(headers: OutgoingHttpHeaders): OutgoingHttpHeaders {
    const {deps, data} = this.#options;
    if (deps.blackboard.read('lifecycle') === 'leaving') {
      headers[callHeaders.leaving] = '1';
      if (deps.latestRequests.isLatest(data.req)) {
        headers.connection = 'close';
      }
    }
    return headers;
  }

  #releaseWorker(): WorkerEndpoint | undefined {
    const worker = this.#worker;
    if (worker) {
      this.#options.deps.loadBalancer.recordCallEnd(worker.vmId);
      this.#worker = undefined;
    }
    return worker;
  }

  #finish(outcome: Outcome): void {
    if (this.#isFinished) {
      return;
    }
    this.#isFinished = true;
    this.#timer?.cancel();
    this.#releaseWorker();
    const {deps, data} = this.#options;
    deps.metrics.increment('carobseam_calls_total', {
      class: data.resolved.route.operationClass,
      outcome,
    });
    this.#options.onFinished(this);
  }
}

function isOutcomeUnknown(reason: RefusalReason): boolean {
  return refusalDefinitions[reason].kind === 'outcome-unknown';
}
