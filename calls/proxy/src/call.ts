import {
  refusalReasonForKey,
  type StoredResponse,
} from '@carobseam/calls.at_most_once';
import {
  callHeaders,
  formatLoad,
  parseLoad,
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
import {relayResponse} from './relay_response.js';
import {sendRefusal} from './send_refusal.js';
import {WorkerAttempt} from './worker_attempt.js';

type Outcome = 'completed' | 'refused' | 'cancelled' | 'broken';

/** Failures that count against a worker in load balancing. */
const WORKER_FAILURES: ReadonlySet<RefusalReason> = new Set<RefusalReason>([
  'starting',
  'worker_down',
  'peer_unreachable',
  'worker_failed',
  'response_timeout',
  'response_incomplete',
  'owner_unreachable',
]);
const SHED_STATUS = 503;

/** Options of a `Call`. */
export interface CallOptions {
  parts: CallDependencies;
  data: CallData;
  res: ServerResponse;
  /** Whether a peer's daemon forwarded the call to the worker here. */
  isHop: boolean;
  onEnd: (call: Call) => void;
}

/** One call from its arrival to its response, with its attempts. */
export class Call implements AttemptListener {
  readonly #options: CallOptions;
  readonly #tried: VmId[] = [];
  #timer?: Timer;
  #attempt?: Attempt;
  #worker?: WorkerEndpoint;
  #retries = 0;
  #ended = false;

  constructor(options: CallOptions) {
    this.#options = options;
  }

  /** The caller's request. */
  get req(): IncomingMessage {
    return this.#options.data.req;
  }

  /** Whether a peer's daemon forwarded the call to the worker here. */
  get isHop(): boolean {
    return this.#options.isHop;
  }

  start(): void {
    const {parts, data, res, isHop} = this.#options;
    const {policy} = data.resolved;
    res.on('close', () => this.#onCallerClose());
    this.#timer = parts.clock.setTimer(
      data.deadlineMs - parts.clock.monotonicMs(),
      () => this.#abandon(),
    );
    if (!isHop && !data.key) {
      parts.retries.countCall(policy);
    }
    data.body.receive(() => this.#proceed());
  }

  /** Ends the call when the daemon no longer waits for it. */
  interrupt(): void {
    this.#abandon();
  }

  onResponse(response: IncomingMessage): void {
    const attempt = this.#attempt!;
    this.#noteResponse(response);
    if (this.#retryShed(response)) {
      return;
    }
    const {data, res} = this.#options;
    relayResponse({
      method: data.method,
      response,
      res,
      headers: this.#withOwnHeaders(attempt.responseHeaders(response)),
      onWhole: body => this.#onWhole(attempt, response, body),
      onBroken: sent => this.#onBroken(attempt, sent),
    });
  }

  onStored(stored: StoredResponse): void {
    const {res, data} = this.#options;
    this.#attempt = undefined;
    if (!stored.body) {
      this.#refuse('owner_unknown', {trusted: true});
      return;
    }
    if (!res.destroyed) {
      const headers: OutgoingHttpHeaders = {...stored.headers};
      headers[callHeaders.version] = data.resolved.snapshot.version;
      res.writeHead(stored.statusCode, this.#withOwnHeaders(headers));
      res.end(stored.body);
    }
    this.#end('completed');
  }

  onFailure(failure: AttemptFailure): void {
    if (this.#ended) {
      return;
    }
    this.#attempt = undefined;
    this.#noteFailure(failure);
    const next = this.#chooseRetry(failure);
    if (next) {
      this.#retries++;
      this.#options.data.resent = true;
      this.#runOn(next);
      return;
    }
    this.#refuse(failure.reason, {
      retryAfterMs: failure.retryAfterMs,
      trusted: failure.fromOwner,
      retried: !this.#options.isHop || failure.retriedBefore,
    });
  }

  #proceed(): void {
    const {parts, data, isHop} = this.#options;
    if (this.#ended) {
      return;
    }
    if (isHop) {
      this.#run(new WorkerAttempt(parts.localWorker, data, this));
    } else if (data.key) {
      this.#runOnOwner();
    } else {
      const worker = this.#choose();
      if (worker) {
        this.#runOn(worker);
      } else {
        this.#refuse('no_worker', {retried: true});
      }
    }
  }

  /** A keyed call goes to exactly one worker and never to another. */
  #runOnOwner(): void {
    const {parts, data} = this.#options;
    const decision = chooseOwner(parts, data);
    if (decision.kind === 'worker') {
      this.#runOn(decision.worker);
    } else {
      const {reason, trusted} = decision;
      this.#refuse(reason, {trusted, retried: true});
    }
  }

  #choose(): WorkerEndpoint | undefined {
    const {parts, data} = this.#options;
    const {service, policy} = data.resolved;
    const workers = parts.blackboard.read('endpoints').get(service.name);
    return parts.balancer.chooseWorker(workers, {
      allowOtherDataCentres: policy.allowOtherDataCentres,
      triedVmIds: this.#tried,
    });
  }

  #runOn(worker: WorkerEndpoint): void {
    const {parts, data} = this.#options;
    this.#worker = worker;
    parts.balancer.recordCallStart(worker.vmId);
    if (worker.vmId === parts.vmId) {
      this.#run(new WorkerAttempt(parts.localWorker, data, this));
      return;
    }
    this.#run(
      new PeerAttempt({
        worker,
        callId: parts.nextCallId(),
        agent: parts.peerAgent,
        clock: parts.clock,
        metrics: parts.metrics,
        data,
        listener: this,
      }),
    );
  }

  #run(attempt: Attempt): void {
    this.#attempt = attempt;
    attempt.start();
  }

  #noteResponse(response: IncomingMessage): void {
    const {parts} = this.#options;
    if (!this.#worker) {
      return;
    }
    const {vmId} = this.#worker;
    if (vmId === parts.vmId) {
      parts.balancer.reportLoad(vmId, parts.localWorker.admission.load());
      return;
    }
    const load = parseLoad(response.headers[callHeaders.load]);
    if (load) {
      parts.balancer.reportLoad(vmId, load);
    }
    if (response.headers[callHeaders.leaving] === '1') {
      parts.balancer.markLeaving(vmId);
    }
  }

  #noteFailure({reason, mayTryAgain}: AttemptFailure): void {
    const {parts, data} = this.#options;
    const worker = this.#releaseWorker();
    if (!worker) {
      return;
    }
    if (!mayTryAgain) {
      this.#tried.push(worker.vmId);
    }
    if (reason === 'leaving') {
      parts.balancer.markLeaving(worker.vmId);
    } else if (WORKER_FAILURES.has(reason)) {
      const {name} = data.resolved.service;
      const workers = parts.blackboard.read('endpoints').get(name);
      parts.balancer.recordFailure(worker.vmId, workers);
    }
  }

  #chooseRetry(failure: AttemptFailure): WorkerEndpoint | undefined {
    const {parts, data, isHop, res} = this.#options;
    // Only the entry daemon retries, and a key stays with its owner.
    if (isHop || data.key || res.destroyed || res.headersSent) {
      return undefined;
    }
    const next = this.#choose();
    const isAllowed =
      next &&
      parts.retries.decide({
        reason: failure.reason,
        retries: this.#retries,
        repeatable: data.resolved.route.repeatable,
        policy: data.resolved.policy,
        deadlineMs: data.deadlineMs,
        retriedBefore: failure.retriedBefore ?? false,
        isBodyBuffered: data.body.isKept,
      });
    return isAllowed ? next : undefined;
  }

  /** Retries a call that the worker itself refused; true if it does. */
  #retryShed(response: IncomingMessage): boolean {
    const isMarked = response.headers[callHeaders.retried] !== undefined;
    if (response.statusCode !== SHED_STATUS || isMarked || !this.#worker) {
      return false;
    }
    this.#tried.push(this.#worker.vmId);
    const next = this.#chooseRetry({reason: 'worker_shed'});
    if (!next) {
      return false;
    }
    response.on('error', () => {});
    response.resume();
    this.#attempt!.complete(response, undefined);
    this.#releaseWorker();
    this.#retries++;
    this.#runOn(next);
    return true;
  }

  #onWhole(
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
      this.#options.parts.balancer.recordSuccess(worker.vmId);
    }
    this.#end('completed');
  }

  #onBroken(attempt: Attempt, sent: boolean): void {
    if (this.#attempt !== attempt || this.#ended) {
      return;
    }
    attempt.breakOff();
    if (!sent) {
      this.onFailure({reason: 'response_incomplete', fromOwner: true});
      return;
    }
    this.#noteFailure({reason: 'response_incomplete'});
    this.#options.res.destroy();
    this.#end('broken');
  }

  #onCallerClose(): void {
    if (this.#ended || this.#attempt?.outlivesCaller) {
      return;
    }
    this.#attempt?.cancel();
    this.#end('cancelled');
  }

  /** Ends the call without a response of the worker. */
  #abandon(): void {
    const {res} = this.#options;
    const reason = this.#attempt?.cancel() ?? 'deadline_exceeded';
    this.#attempt = undefined;
    if (refusalDefinitions[reason].kind === 'outcome-unknown') {
      this.#noteFailure({reason});
    }
    if (res.headersSent) {
      res.destroy();
      this.#end('broken');
      return;
    }
    this.#refuse(reason, {retried: !this.#options.isHop});
  }

  #refuse(
    reason: RefusalReason,
    how: {trusted?: boolean; retried?: boolean; retryAfterMs?: number},
  ): void {
    const {parts, data, res} = this.#options;
    const isOpen = data.key !== undefined && !how.trusted;
    const stated = isOpen
      ? refusalReasonForKey(reason, data.firstSend)
      : reason;
    const {kind} = refusalDefinitions[stated];
    parts.metrics.increment('carobseam_refusals_total', {
      refusal: kind,
      reason: stated,
    });
    if (!res.destroyed && !res.headersSent) {
      sendRefusal(res, stated, how.retryAfterMs, this.#refusalHeaders(how));
    }
    this.#end('refused');
  }

  #refusalHeaders(how: {retried?: boolean}): OutgoingHttpHeaders {
    const {parts, data, isHop} = this.#options;
    const headers: OutgoingHttpHeaders = {
      [callHeaders.version]: data.resolved.snapshot.version,
    };
    if (how.retried) {
      headers[callHeaders.retried] = '1';
    }
    if (isHop) {
      headers[callHeaders.load] = formatLoad(
        parts.localWorker.admission.load(),
      );
    }
    if (!data.req.complete) {
      // The rest of the request body is not read.
      headers.connection = 'close';
    }
    return this.#withOwnHeaders(headers);
  }

  #withOwnHeaders(headers: OutgoingHttpHeaders): OutgoingHttpHeaders {
    if (this.#options.parts.blackboard.read('lifecycle') === 'leaving') {
      headers[callHeaders.leaving] = '1';
      headers.connection = 'close';
    }
    return headers;
  }

  #releaseWorker(): WorkerEndpoint | undefined {
    const worker = this.#worker;
    if (worker) {
      this.#options.parts.balancer.recordCallEnd(worker.vmId);
      this.#worker = undefined;
    }
    return worker;
  }

  #end(outcome: Outcome): void {
    if (this.#ended) {
      return;
    }
    this.#ended = true;
    this.#timer?.cancel();
    this.#releaseWorker();
    const {parts, data} = this.#options;
    parts.metrics.increment('carobseam_calls_total', {
      class: data.resolved.route.operationClass,
      outcome,
    });
    this.#options.onEnd(this);
  }
}
