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
import {copyEndToEndHeaders} from './end_to_end_headers.js';
import {probeDaemon, type ProbeTarget} from './probes.js';
import {setBodyFraming} from './set_body_framing.js';

export interface PeerAttemptOptions {
  worker: WorkerEndpoint;
  callId: string;
  agent: Agent;
  clock: Clock;
  metrics: Metrics;
  data: CallData;
  listener: AttemptListener;
}

/** Forwards a call to a peer, the daemon of another worker. */
export class PeerAttempt implements Attempt, ExchangeListener {
  readonly continuesWithoutCaller = false;
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
        // `working` means that the peer does not work on the call.
        canGiveUp: result =>
          result === 'working' ||
          (result !== 'call_known' && this.#options.listener.onSilent()),
        onUnresponsive: reason =>
          metrics.increment('carobseam_connections_replaced_total', {reason}),
      },
      this,
    );
  }

  onExchangeResponse(response: IncomingMessage): void {
    const {listener} = this.#options;
    const failure = readRefusal(response);
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
      reason: this.#refusalReasonFor(failure),
      canRetrySameWorker: failure.kind === 'reset' && failure.reusedConnection,
    });
  }

  responseHeaders(response: IncomingMessage): OutgoingHttpHeaders {
    const headers = copyEndToEndHeaders(response.headers);
    delete headers[callHeaders.leaving];
    return headers;
  }

  complete(): void {}

  handleTruncatedResponse(): void {}

  cancel(): RefusalReason {
    const written = this.#exchange?.written ?? false;
    this.#exchange?.abort();
    this.#response?.destroy();
    return written ? 'response_timeout' : 'deadline_exceeded';
  }

  #refusalReasonFor({written, kind}: ExchangeFailure): RefusalReason {
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
    const headers = copyEndToEndHeaders(req.headers);
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

/** Reads the refusal of a peer; undefined for any other response. */
function readRefusal(response: IncomingMessage): AttemptFailure | undefined {
  const {headers} = response;
  const kind = headers[callHeaders.refusal];
  if (kind === undefined) {
    return undefined;
  }
  const reason = String(headers[callHeaders.reason]);
  const retryAfter = Number(headers[callHeaders.retryAfter]);
  return {
    reason: isRefusalReason(reason) ? reason : fallbackReason(kind),
    retryAfterMs: retryAfter > 0 ? retryAfter * 1000 : undefined,
    retriedBefore: headers[callHeaders.retried] !== undefined,
    isStatedByOwner: true,
  };
}

function isRefusalReason(reason: string): reason is RefusalReason {
  return Object.hasOwn(refusalDefinitions, reason);
}

/** Replaces the reason of a peer of another release, unknown to this one. */
function fallbackReason(kind: string | string[]): RefusalReason {
  return kind === 'not-run' ? 'no_worker' : 'worker_failed';
}
