import {
  AdmissionTicket,
  type AdmissionCall,
  type AdmissionRefusal,
} from '@carobseam/calls.admission';
import type {
  KeyDecision,
  KeyTicket,
  StoredResponse,
} from '@carobseam/calls.at_most_once';
import {
  requestFingerprint,
  type InFlightRequest,
} from '@carobseam/calls.crash_marks';
import {forwardedDeadlineMs} from '@carobseam/calls.retries';
import {
  callHeaders,
  formatLoad,
  type RefusalReason,
} from '@carobseam/calls.types';
import type {OperationClass} from '@carobseam/config.types';
import type {IncomingMessage, OutgoingHttpHeaders} from 'node:http';
import type {Attempt, AttemptListener} from './attempt.js';
import type {CallData} from './call_data.js';
import {
  Exchange,
  type ExchangeFailure,
  type ExchangeListener,
} from './exchange.js';
import {
  copyEndToEndHeaders,
  removeDaemonHeaders,
} from './end_to_end_headers.js';
import {probeWorker} from './probes.js';
import {setBodyFraming} from './set_body_framing.js';
import type {LocalWorker} from './local_worker.js';

const SHED_STATUS = 503;

/** Runs a call on the local worker. */
export class WorkerAttempt implements Attempt, AdmissionCall, ExchangeListener {
  readonly operationClass: OperationClass;
  readonly deadlineMs: number;
  readonly queueLength: number;
  readonly #localWorker: LocalWorker;
  readonly #data: CallData;
  readonly #listener: AttemptListener;
  readonly #ticket: AdmissionTicket;
  #keyTicket?: KeyTicket;
  #exchange?: Exchange;
  #response?: IncomingMessage;
  #isAwaitingOutcome = false;
  #startedMs = 0;
  #isFinished = false;

  constructor(
    localWorker: LocalWorker,
    data: CallData,
    listener: AttemptListener,
  ) {
    this.#localWorker = localWorker;
    this.#data = data;
    this.#listener = listener;
    this.operationClass = data.resolved.route.operationClass;
    this.deadlineMs = data.deadlineMs;
    this.queueLength = data.resolved.policy.queueLength;
    this.#ticket = new AdmissionTicket(this);
  }

  /** The response of a keyed call is stored for a later resend of its key. */
  get continuesWithoutCaller(): boolean {
    return this.#keyTicket !== undefined;
  }

  start(): void {
    const {crashMarks, admission} = this.#localWorker;
    if (
      crashMarks.hasMarks &&
      crashMarks.isRefused(this.#computeFingerprint())
    ) {
      this.#refuse('crash_suspect');
      return;
    }
    admission.submit(this.#ticket);
  }

  onStarted(): void {
    const decision = this.#decideKey();
    if (decision && decision.kind !== 'run') {
      this.#localWorker.admission.release(this.#ticket, false);
      this.#applyDecision(decision);
      return;
    }
    this.#keyTicket = decision?.ticket;
    this.#send();
  }

  onRefused(reason: AdmissionRefusal, retryAfterMs?: number): void {
    this.#refuse(reason, retryAfterMs);
  }

  onExchangeResponse(response: IncomingMessage): void {
    this.#response = response;
    this.#localWorker.recordResponse();
    if (isShed(response)) {
      this.#localWorker.admission.recordWorkerShed();
    }
    this.#listener.onResponse(response);
  }

  onExchangeFailure(failure: ExchangeFailure): void {
    this.#localWorker.recordFailure(failure, () => this.#toInFlightRequest());
    this.#endKeyTicket(failure.written);
    this.#releaseSlot(false);
    this.#listener.onFailure({
      reason: refusalReasonFor(failure),
      isStatedByOwner: true,
      canRetrySameWorker: failure.kind === 'reset' && failure.reusedConnection,
    });
  }

  responseHeaders(response: IncomingMessage): OutgoingHttpHeaders {
    const headers = copyEndToEndHeaders(response.headers);
    removeDaemonHeaders(headers);
    headers[callHeaders.load] = formatLoad(this.#localWorker.admission.load());
    headers[callHeaders.version] = this.#data.resolved.snapshot.version;
    return headers;
  }

  complete(response: IncomingMessage, body: Buffer | undefined): void {
    const {crashMarks} = this.#localWorker;
    if (crashMarks.hasMarks) {
      crashMarks.recordCompletion(this.#computeFingerprint());
    }
    this.#keyTicket?.complete(toStoredResponse(response, body));
    this.#keyTicket = undefined;
    this.#releaseSlot(response.statusCode !== SHED_STATUS);
  }

  handleTruncatedResponse(): void {
    this.#localWorker.recordReset(this.#toInFlightRequest());
    this.#endKeyTicket(true);
    this.#releaseSlot(false);
  }

  cancel(): RefusalReason {
    if (this.#isAwaitingOutcome) {
      this.#isFinished = true;
      return 'still_running';
    }
    const isRunning = this.#ticket.state === 'running';
    const written = isRunning && (this.#exchange?.written ?? false);
    this.#exchange?.abort();
    this.#response?.destroy();
    this.#endKeyTicket(written);
    // A call that reached its deadline counts as a service time. Without it,
    // only the fast calls would form the estimate.
    const timedOut = this.#localWorker.clock.monotonicMs() >= this.deadlineMs;
    this.#releaseSlot(written && timedOut);
    return written ? 'response_timeout' : 'deadline_exceeded';
  }

  #send(): void {
    const {clock, upstream, agent} = this.#localWorker;
    this.#startedMs = clock.monotonicMs();
    const {method, url, body, resolved, key} = this.#data;
    this.#exchange = new Exchange(
      {
        clock,
        ...upstream,
        // A worker may close an idle connection at the moment of its reuse,
        // which would leave the outcome of a non-idempotent call unknown.
        agent: key ? false : agent,
        method,
        path: url,
        headers: this.#requestHeaders(),
        body,
        firstByteTimeoutMs: resolved.policy.firstByteTimeoutMs,
        probe: onResult => probeWorker(upstream, onResult),
        // A new connection does not show whether the worker runs the request.
        canGiveUp: () => this.#listener.onSilent(),
        onUnresponsive: result =>
          this.#localWorker.countReplacedConnection(result),
      },
      this,
    );
  }

  #requestHeaders(): OutgoingHttpHeaders {
    const {req, depth, key, deadlineMs} = this.#data;
    const headers = copyEndToEndHeaders(req.headers);
    const remainingMs = deadlineMs - this.#localWorker.clock.monotonicMs();
    delete headers[callHeaders.hop];
    delete headers[callHeaders.callId];
    delete headers[callHeaders.firstSend];
    delete headers[callHeaders.resent];
    headers[callHeaders.deadline] = forwardedDeadlineMs(remainingMs);
    headers[callHeaders.depth] = depth + 1;
    if (key) {
      headers[callHeaders.idempotencyKey] = key.text;
    }
    setBodyFraming(headers, this.#data);
    return headers;
  }

  #decideKey(): KeyDecision | undefined {
    const {key, resolved, firstSend} = this.#data;
    return (
      key &&
      this.#localWorker.keyGuard.decide({
        key,
        service: resolved.service.name,
        fingerprint: this.#computeFingerprint(),
        firstSend,
      })
    );
  }

  #applyDecision(decision: Exclude<KeyDecision, {kind: 'run'}>): void {
    if (decision.kind === 'replay') {
      this.#isFinished = true;
      this.#listener.onStoredResponse(decision.response);
    } else if (decision.kind === 'refuse') {
      this.#fail(decision.reason);
    } else {
      this.#isAwaitingOutcome = true;
      void decision.outcome.then(outcome => this.#onAwaitedOutcome(outcome));
    }
  }

  #onAwaitedOutcome(outcome: StoredResponse | undefined): void {
    if (this.#isFinished) {
      return;
    }
    if (outcome) {
      this.#isFinished = true;
      this.#listener.onStoredResponse(outcome);
    } else {
      this.#fail('owner_unknown');
    }
  }

  /**
   * Refuses the call, unless its key has a stored outcome from an earlier
   * attempt, which decides instead.
   */
  #refuse(reason: RefusalReason, retryAfterMs?: number): void {
    const decision = this.#data.firstSend ? undefined : this.#decideKey();
    if (decision && decision.kind !== 'run') {
      this.#applyDecision(decision);
      return;
    }
    decision?.ticket.release();
    this.#fail(reason, retryAfterMs);
  }

  #fail(reason: RefusalReason, retryAfterMs?: number): void {
    if (!this.#isFinished) {
      this.#isFinished = true;
      this.#listener.onFailure({reason, retryAfterMs, isStatedByOwner: true});
    }
  }

  #endKeyTicket(written: boolean): void {
    if (written) {
      this.#keyTicket?.markOutcomeUnknown();
    } else {
      this.#keyTicket?.release();
    }
    this.#keyTicket = undefined;
  }

  #releaseSlot(completed: boolean): void {
    this.#isFinished = true;
    this.#localWorker.admission.release(this.#ticket, completed);
  }

  #toInFlightRequest(): InFlightRequest {
    return {
      fingerprint: this.#computeFingerprint(),
      startedMonotonicMs: this.#startedMs,
      resent: this.#data.resent,
    };
  }

  /** Covers only the buffered part of a streamed body. */
  #computeFingerprint(): string {
    const {method, url, body} = this.#data;
    return requestFingerprint({
      method,
      path: url,
      body: Buffer.concat(body.chunks),
    });
  }
}

function isShed(response: IncomingMessage): boolean {
  const {statusCode, headers} = response;
  return (
    statusCode === SHED_STATUS &&
    headers[callHeaders.refusal] === undefined &&
    headers[callHeaders.retried] === undefined
  );
}

function refusalReasonFor({written, kind}: ExchangeFailure): RefusalReason {
  if (!written) {
    return 'worker_down';
  }
  return kind === 'silent' ? 'response_timeout' : 'worker_failed';
}

function toStoredResponse(
  response: IncomingMessage,
  body: Buffer | undefined,
): StoredResponse {
  const headers = copyEndToEndHeaders(response.headers);
  removeDaemonHeaders(headers);
  return {
    statusCode: response.statusCode!,
    headers: headers as StoredResponse['headers'],
    body,
  };
}
