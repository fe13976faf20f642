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
import {forwardedHeaders, removeDaemonHeaders} from './forward_headers.js';
import {probeWorker} from './probe_peer.js';
import {setBodyFraming} from './set_body_framing.js';
import type {LocalWorker} from './local_worker.js';

const SHED_STATUS = 503;

/** Runs a call on the worker beside this daemon. */
export class WorkerAttempt implements Attempt, AdmissionCall, ExchangeListener {
  readonly operationClass: OperationClass;
  readonly deadlineMs: number;
  readonly queueLength: number;
  readonly #gate: LocalWorker;
  readonly #data: CallData;
  readonly #listener: AttemptListener;
  readonly #ticket: AdmissionTicket;
  #keyTicket?: KeyTicket;
  #exchange?: Exchange;
  #response?: IncomingMessage;
  #waiting = false;
  #startedMs = 0;
  #ended = false;

  constructor(gate: LocalWorker, data: CallData, listener: AttemptListener) {
    this.#gate = gate;
    this.#data = data;
    this.#listener = listener;
    this.operationClass = data.resolved.route.operationClass;
    this.deadlineMs = data.deadlineMs;
    this.queueLength = data.resolved.policy.queueLength;
    this.#ticket = new AdmissionTicket(this);
  }

  /** The outcome of a key is kept for a repeat, so the run goes on. */
  get outlivesCaller(): boolean {
    return this.#keyTicket !== undefined;
  }

  start(): void {
    const {crashMarks, admission} = this.#gate;
    if (crashMarks.hasMarks && crashMarks.isRefused(this.#fingerprint())) {
      this.#refuse('crash_suspect');
      return;
    }
    admission.submit(this.#ticket);
  }

  onStarted(): void {
    const decision = this.#decideKey();
    if (decision && decision.kind !== 'run') {
      this.#gate.admission.release(this.#ticket, false);
      this.#follow(decision);
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
    this.#gate.noteResponse();
    if (isShed(response)) {
      this.#gate.admission.recordWorkerShed();
    }
    this.#listener.onResponse(response);
  }

  onExchangeFailure(failure: ExchangeFailure): void {
    this.#gate.noteFailure(failure, () => this.#inFlight());
    this.#endKey(failure.written);
    this.#end(false);
    this.#listener.onFailure({
      reason: reasonOf(failure),
      fromOwner: true,
      mayTryAgain: failure.kind === 'reset' && failure.reusedConnection,
    });
  }

  responseHeaders(response: IncomingMessage): OutgoingHttpHeaders {
    const headers = forwardedHeaders(response.headers);
    removeDaemonHeaders(headers);
    headers[callHeaders.load] = formatLoad(this.#gate.admission.load());
    headers[callHeaders.version] = this.#data.resolved.snapshot.version;
    return headers;
  }

  complete(response: IncomingMessage, body: Buffer | undefined): void {
    const {crashMarks} = this.#gate;
    if (crashMarks.hasMarks) {
      crashMarks.recordCompletion(this.#fingerprint());
    }
    this.#keyTicket?.complete(storedResponse(response, body));
    this.#keyTicket = undefined;
    this.#end(response.statusCode !== SHED_STATUS);
  }

  breakOff(): void {
    this.#gate.noteReset(this.#inFlight());
    this.#endKey(true);
    this.#end(false);
  }

  cancel(): RefusalReason {
    if (this.#waiting) {
      this.#ended = true;
      return 'still_running';
    }
    const isRunning = this.#ticket.state === 'running';
    const written = isRunning && (this.#exchange?.written ?? false);
    this.#exchange?.abort();
    this.#response?.destroy();
    this.#endKey(written);
    // A call that ran until its deadline tells that calls take at least so
    // long; without it the learned time would be that of the fast calls.
    const timedOut = this.#gate.clock.monotonicMs() >= this.deadlineMs;
    this.#end(written && timedOut);
    return written ? 'response_timeout' : 'deadline_exceeded';
  }

  #send(): void {
    const {clock, upstream, agent} = this.#gate;
    this.#startedMs = clock.monotonicMs();
    const {method, url, body, resolved, key} = this.#data;
    this.#exchange = new Exchange(
      {
        clock,
        ...upstream,
        // A worker may close an idle connection just when it is used again;
        // the outcome of a call that must not be repeated would be unknown.
        agent: key ? false : agent,
        method,
        path: url,
        headers: this.#requestHeaders(),
        body,
        firstByteTimeoutMs: resolved.policy.firstByteTimeoutMs,
        probe: onResult => probeWorker(upstream, onResult),
        onSilent: result => this.#gate.noteReplaced(result),
      },
      this,
    );
  }

  #requestHeaders(): OutgoingHttpHeaders {
    const {req, depth, key, deadlineMs} = this.#data;
    const headers = forwardedHeaders(req.headers);
    const remainingMs = deadlineMs - this.#gate.clock.monotonicMs();
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
      this.#gate.keyGuard.decide({
        key,
        service: resolved.service.name,
        fingerprint: this.#fingerprint(),
        firstSend,
      })
    );
  }

  #follow(decision: Exclude<KeyDecision, {kind: 'run'}>): void {
    if (decision.kind === 'replay') {
      this.#ended = true;
      this.#listener.onStored(decision.response);
    } else if (decision.kind === 'refuse') {
      this.#fail(decision.reason);
    } else {
      this.#waiting = true;
      void decision.outcome.then(outcome => this.#afterWait(outcome));
    }
  }

  #afterWait(outcome: StoredResponse | undefined): void {
    if (this.#ended) {
      return;
    }
    if (outcome) {
      this.#ended = true;
      this.#listener.onStored(outcome);
    } else {
      this.#fail('owner_unknown');
    }
  }

  /** Refuses; the memory tells whether an earlier send of the key has run. */
  #refuse(reason: RefusalReason, retryAfterMs?: number): void {
    const decision = this.#data.firstSend ? undefined : this.#decideKey();
    if (decision && decision.kind !== 'run') {
      this.#follow(decision);
      return;
    }
    decision?.ticket.release();
    this.#fail(reason, retryAfterMs);
  }

  #fail(reason: RefusalReason, retryAfterMs?: number): void {
    if (!this.#ended) {
      this.#ended = true;
      this.#listener.onFailure({reason, retryAfterMs, fromOwner: true});
    }
  }

  #endKey(written: boolean): void {
    if (written) {
      this.#keyTicket?.markOutcomeUnknown();
    } else {
      this.#keyTicket?.release();
    }
    this.#keyTicket = undefined;
  }

  #end(completed: boolean): void {
    this.#ended = true;
    this.#gate.admission.release(this.#ticket, completed);
  }

  #inFlight(): InFlightRequest {
    return {
      fingerprint: this.#fingerprint(),
      startedMonotonicMs: this.#startedMs,
      resent: this.#data.resent,
    };
  }

  /** Of a streamed body only the part that is in memory counts. */
  #fingerprint(): string {
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

function reasonOf({written, kind}: ExchangeFailure): RefusalReason {
  if (!written) {
    return 'worker_down';
  }
  return kind === 'silent' ? 'response_timeout' : 'worker_failed';
}

function storedResponse(
  response: IncomingMessage,
  body: Buffer | undefined,
): StoredResponse {
  const headers = forwardedHeaders(response.headers);
  removeDaemonHeaders(headers);
  return {
    statusCode: response.statusCode!,
    headers: headers as StoredResponse['headers'],
    body,
  };
}
