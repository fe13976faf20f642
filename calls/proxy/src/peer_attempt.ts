import {forwardedDeadlineMs} from '@carobseam/calls.retries';
import {
  callHeaders,
  refusalDefinitions,
  type RefusalReason,
} from '@carobseam/calls.types';
import type {Metrics} from '@carobseam/core.metrics';
import type {Clock} from '@carobseam/core.types';
import type {WorkerEndpoint} from '@carobseam/fleet.types';
import type {Agent, IncomingMessage, OutgoingHttpHeaders} from 'node:http';
import type {Attempt, AttemptFailure, AttemptListener} from './attempt.js';
import type {CallData} from './call_data.js';
import {
  Exchange,
  type ExchangeFailure,
  type ExchangeListener,
} from './exchange.js';
import {forwardedHeaders} from './forward_headers.js';
import {probeDaemon, type ProbeTarget} from './probe_peer.js';
import {setBodyFraming} from './set_body_framing.js';

/** Options of a `PeerAttempt`. */
export interface PeerAttemptOptions {
  worker: WorkerEndpoint;
  callId: string;
  agent: Agent;
  clock: Clock;
  metrics: Metrics;
  data: CallData;
  listener: AttemptListener;
}

/** Forwards a call to the daemon beside another worker. */
export class PeerAttempt implements Attempt, ExchangeListener {
  readonly outlivesCaller = false;
  readonly #options: PeerAttemptOptions;
  #exchange?: Exchange;
  #response?: IncomingMessage;

  constructor(options: PeerAttemptOptions) {
    this.#options = options;
  }

  start(): void {
    const {worker, callId, agent, clock, metrics, data} = this.#options;
    const peer: ProbeTarget = {
      address: worker.address,
      port: worker.callersPort,
    };
    this.#exchange = new Exchange(
      {
        clock,
        ...peer,
        agent: data.key ? false : agent,
        method: data.method,
        path: data.url,
        headers: this.#requestHeaders(),
        body: data.body,
        firstByteTimeoutMs: data.resolved.policy.firstByteTimeoutMs,
        probe: onResult => probeDaemon(peer, callId, onResult),
        onSilent: reason =>
          metrics.increment('carobseam_connections_replaced_total', {reason}),
      },
      this,
    );
  }

  onExchangeResponse(response: IncomingMessage): void {
    const {listener} = this.#options;
    const failure = refusalOf(response);
    if (!failure) {
      this.#response = response;
      listener.onResponse(response);
      return;
    }
    response.on('error', () => {});
    response.resume();
    listener.onFailure(failure);
  }

  onExchangeFailure(failure: ExchangeFailure): void {
    this.#options.listener.onFailure({
      reason: this.#reasonOf(failure),
      mayTryAgain: failure.kind === 'reset' && failure.reusedConnection,
    });
  }

  responseHeaders(response: IncomingMessage): OutgoingHttpHeaders {
    const headers = forwardedHeaders(response.headers);
    delete headers[callHeaders.leaving];
    return headers;
  }

  complete(): void {}

  breakOff(): void {}

  cancel(): RefusalReason {
    const written = this.#exchange?.written ?? false;
    this.#exchange?.abort();
    this.#response?.destroy();
    return written ? 'response_timeout' : 'deadline_exceeded';
  }

  #reasonOf({written, kind}: ExchangeFailure): RefusalReason {
    if (!written) {
      return 'peer_unreachable';
    }
    if (this.#options.data.key) {
      return 'owner_unreachable';
    }
    return kind === 'silent' ? 'response_timeout' : 'worker_failed';
  }

  #requestHeaders(): OutgoingHttpHeaders {
    const {worker, callId, clock, data} = this.#options;
    const {req, key, firstSend, deadlineMs, depth} = data;
    const headers = forwardedHeaders(req.headers);
    headers[callHeaders.hop] = worker.vmId;
    headers[callHeaders.callId] = callId;
    headers[callHeaders.depth] = depth;
    const remainingMs = deadlineMs - clock.monotonicMs();
    headers[callHeaders.deadline] = forwardedDeadlineMs(remainingMs);
    if (key) {
      headers[callHeaders.idempotencyKey] = key.text;
    }
    if (data.resent) {
      headers[callHeaders.resent] = '1';
    }
    if (key && firstSend) {
      headers[callHeaders.firstSend] = '1';
    }
    setBodyFraming(headers, data);
    return headers;
  }
}

/** The typed refusal of a peer's daemon; undefined for other responses. */
function refusalOf(response: IncomingMessage): AttemptFailure | undefined {
  const {headers} = response;
  const kind = headers[callHeaders.refusal];
  if (kind === undefined) {
    return undefined;
  }
  const reason = String(headers[callHeaders.reason]);
  const retryAfter = Number(headers[callHeaders.retryAfter]);
  return {
    reason: isReason(reason) ? reason : fallbackReason(kind),
    retryAfterMs: retryAfter > 0 ? retryAfter * 1000 : undefined,
    retriedBefore: headers[callHeaders.retried] !== undefined,
    fromOwner: true,
  };
}

function isReason(reason: string): reason is RefusalReason {
  return Object.hasOwn(refusalDefinitions, reason);
}

/** A daemon of another release may use a reason that this one lacks. */
function fallbackReason(kind: string | string[]): RefusalReason {
  return kind === 'not-run' ? 'no_worker' : 'worker_failed';
}
