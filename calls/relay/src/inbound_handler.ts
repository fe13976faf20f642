import {discardResponse} from '@carobseam/calls.exchange';
import type {QueuedRequest, WorkerLoad} from '@carobseam/calls.worker_queue';
import type {LogFields} from '@carobseam/core.logger';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Readable} from 'node:stream';
import {wireHeaders} from '@carobseam/platform.adapter';
import {forwardedHeaders} from './forwarded_headers.js';
import {HopConnections} from './hop_connections.js';
import type {HopDelays} from './hop_delay.js';
import {respondToHealthProbe} from './health_probe.js';
import {
  decodeHopRequest,
  encodeHopResponse,
  encodeHopStatement,
  hopHeaders,
  toQueuedRequest,
  type HopRequest,
} from './hop_message.js';
import {gateTimes, roundMs} from './log_times.js';
import {BodyTooLargeError, readBody} from './read_body.js';
import type {RelayContext} from './relay_context.js';
import {FIRST_INTAKE_CLASS} from './request_intake.js';
import {sendResponse} from './send_response.js';
import {hasSenderLeft, onceClosed} from './sender_presence.js';
import type {GateResult, GateTicket} from './gate_request.js';

const FIRST_INTERIM_MS = 150; // most responses arrive sooner
const INTERIM_INTERVAL_MS = 200; // two may be late before the hop counts as silent
const MAX_BODY_BYTES = 1024 * 1024 * 1024; // the sending relay has applied the caller's limit
const EXCLUDED_HEADERS = new Set<string>([
  hopHeaders.request,
  hopHeaders.knownRateLimit,
  hopHeaders.resent,
  hopHeaders.sentAt,
  wireHeaders.deadlineMs,
  wireHeaders.expectedWorker,
]);

const RELAY_LEAVES = {
  verdict: 'notSent',
  reason: 'relayLeaves',
  retryAfterMs: 0,
} as const;

/** A hop request that has been read. */
interface ReadHop {
  hop: HopRequest;
  scheduling: QueuedRequest;
  body: Buffer | Readable;
  /** When it was read, on the monotonic clock, in ms. */
  arrivedMs: number;
}

/** What the sending relay has seen of a request in progress. */
interface HopProgress {
  /** Interim responses sent to it. */
  interims: number;
  /** When its connection closed, on the monotonic clock, in ms. */
  closedMs?: number;
}

/** Options of `InboundHandler`. */
export type InboundHandlerOptions = Pick<
  RelayContext,
  | 'clock'
  | 'workerGate'
  | 'intake'
  | 'log'
  | 'isDraining'
  | 'shutdownDeadlineMs'
  | 'isRefusingNewRequests'
> & {hopDelays: HopDelays};

/** Handles the requests that other relays send to the local worker. */
export class InboundHandler {
  readonly #options: InboundHandlerOptions;
  readonly #connections: HopConnections;
  #activeCount = 0;

  constructor(options: InboundHandlerOptions) {
    this.#options = options;
    this.#connections = new HopConnections({
      clock: options.clock,
      refusal: () => this.#encodeRefusal(),
    });
  }

  /** Follows the connections of the server whose requests this handles. */
  watch(server: Server): void {
    this.#connections.watch(server);
  }

  /**
   * Ends the connections of other relays before the exit, when new requests are
   * refused already, so that each request that they send gets a verdict.
   */
  async retire(server: Server): Promise<void> {
    await this.#connections.retire(server);
  }

  /** Number of requests in flight. */
  get activeCount(): number {
    return this.#activeCount;
  }

  handle(request: IncomingMessage, response: ServerResponse): void {
    if (!this.#connections.tryBegin(request, response)) {
      request.resume();
      return;
    }
    this.#activeCount++;
    response.sendDate = false;
    onceClosed(request, response, () => this.#activeCount--);
    this.#serve(request, response).catch(error => {
      const isTooLarge = error instanceof BodyTooLargeError;
      this.#options.log.gateDecision('bodyFailed', {
        id: requestIdOf(request),
        cause: String(error),
        outcome: isTooLarge ? 'refused' : 'dropped',
      });
      response.destroy();
    });
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const arrivedMs = this.#options.clock.monotonicMs();
    const hop = decodeHopRequest(
      request.headers[hopHeaders.request] as string | undefined,
    );
    if (!hop) {
      if (!respondToHealthProbe(request, response)) {
        response.writeHead(400);
        response.end();
      }
      return;
    }
    const delayMs = this.#options.hopDelays.delayOf(
      request.socket.remoteAddress ?? '',
      request.headers[hopHeaders.sentAt] as string | undefined,
    );
    this.#options.log.hopRead(delayMs);
    const scheduling = toQueuedRequest(hop, arrivedMs - delayMs);
    const body = await readBody(request, MAX_BODY_BYTES);
    if (this.#isRefused(scheduling)) {
      this.#respond(request, response, RELAY_LEAVES);
      return;
    }
    await this.#options.intake.submit({
      priorityClass: FIRST_INTAKE_CLASS,
      expiresAtMs: scheduling.expiresAtMs,
      hasLeft: () => hasSenderLeft(request),
      run: () =>
        this.#submit(request, response, {hop, scheduling, body, arrivedMs}),
      refuse: () =>
        this.#respond(request, response, {
          verdict: 'notSent',
          reason: 'expired',
          retryAfterMs: 0,
        }),
      drop: () => this.#drop(request, response, arrivedMs),
    });
  }

  /**
   * Whether a leaving relay turns a request away: from some time on, and before
   * it if the exit could break the request off. The sender can place it elsewhere.
   */
  #isRefused({expiresAtMs}: QueuedRequest): boolean {
    const {isRefusingNewRequests, shutdownDeadlineMs} = this.#options;
    return isRefusingNewRequests() || expiresAtMs > shutdownDeadlineMs();
  }

  /** Submits a request to the worker and responds. */
  async #submit(
    request: IncomingMessage,
    response: ServerResponse,
    {hop, scheduling, body, arrivedMs}: ReadHop,
  ): Promise<void> {
    const {clock, workerGate} = this.#options;
    const headers = forwardedHeaders(request.rawHeaders, EXCLUDED_HEADERS);
    headers.push(wireHeaders.expectedWorker, hop.worker);
    const ticket = workerGate.submit({
      worker: hop.worker,
      knownRateLimitPerS: knownRateLimitOf(request),
      isIdempotent: hop.isIdempotent,
      scheduling,
      method: request.method!,
      url: request.url!,
      headers,
      body,
      requestId: requestIdOf(request),
      isResent: request.headers[hopHeaders.resent] !== undefined,
      hasSenderLeft: () => hasSenderLeft(request),
    });
    const progress = this.#sendInterimResponses(request, response, ticket);
    const result = await ticket.result;
    if (response.destroyed) {
      const leftMs = progress.closedMs ?? clock.monotonicMs();
      this.#recordDecision(request, result, workerGate.load, {
        reason: 'senderLeft',
        leftAfterMs: roundMs(leftMs - arrivedMs),
        interims: progress.interims,
        result: result.reason,
      });
      discardResponse(result.response);
      return;
    }
    this.#respond(request, response, result);
  }

  /**
   * Sends interim responses while the request is in progress, so that the
   * sending relay does not take the hop for silent.
   */
  #sendInterimResponses(
    request: IncomingMessage,
    response: ServerResponse,
    ticket: GateTicket,
  ): HopProgress {
    const {clock} = this.#options;
    const progress: HopProgress = {interims: 0};
    const sendInterim = () => {
      if (!response.headersSent && !response.destroyed) {
        response.writeProcessing();
        progress.interims++;
        timer = clock.setTimer(INTERIM_INTERVAL_MS, sendInterim);
      }
    };
    let timer = clock.setTimer(FIRST_INTERIM_MS, sendInterim);
    onceClosed(request, response, () => {
      timer.cancel();
      progress.closedMs = clock.monotonicMs();
      if (!response.writableFinished) {
        ticket.cancel();
      }
    });
    return progress;
  }

  /** Drops a request whose sender left before it was submitted. */
  #drop(
    request: IncomingMessage,
    response: ServerResponse,
    arrivedMs: number,
  ): void {
    const {clock, workerGate} = this.#options;
    this.#recordDecision(
      request,
      {verdict: 'notSent', reason: 'senderLeft', retryAfterMs: 0},
      workerGate.load,
      {
        reason: 'senderLeft',
        leftAfterMs: roundMs(clock.monotonicMs() - arrivedMs),
      },
    );
    request.destroy();
  }

  #recordDecision(
    request: IncomingMessage,
    result: GateResult,
    load: WorkerLoad,
    {reason, ...fields}: LogFields & {reason: string},
  ): void {
    this.#options.log.gateDecision(reason, {
      id: requestIdOf(request),
      outcome: result.verdict,
      ...gateTimes(result),
      ...fields,
      running: load.running,
      queued: load.queued.join(),
      serviceMs: Math.round(load.meanServiceMs),
      rateLimitPerS: load.rateLimit?.perS,
    });
  }

  /** Encodes the refusal of a request that was not read. */
  #encodeRefusal(): string {
    const headers = this.#hopResponseHeaders(RELAY_LEAVES);
    headers.push('Connection', 'close', 'Content-Length', '0');
    const lines = ['HTTP/1.1 503 Service Unavailable'];
    for (let index = 0; index < headers.length; index += 2) {
      lines.push(`${headers[index]}: ${headers[index + 1]}`);
    }
    return `${lines.join('\r\n')}\r\n\r\n`;
  }

  /** Verdict, load and statement, as alternating names and values. */
  #hopResponseHeaders(result: GateResult): string[] {
    const {workerGate, isDraining} = this.#options;
    const {load} = workerGate;
    const verdict = encodeHopResponse({
      verdict: result.verdict,
      reason: result.reason,
      retryAfterMs: result.retryAfterMs,
      load: {...load, isLeaving: load.isLeaving || isDraining()},
    });
    return [
      hopHeaders.response,
      verdict,
      ...encodeHopStatement(load, result.isWorkerLeaving === true),
    ];
  }

  #respond(
    request: IncomingMessage,
    response: ServerResponse,
    result: GateResult,
  ): void {
    if (result.verdict !== 'answered') {
      const {load} = this.#options.workerGate;
      this.#recordDecision(request, result, load, {reason: result.reason});
    }
    const hopResponseHeaders = this.#hopResponseHeaders(result);
    if (result.response) {
      sendResponse(response, result.response, hopResponseHeaders);
      return;
    }
    response.writeHead(503, [...hopResponseHeaders, 'Content-Length', '0']);
    response.end();
  }
}

function knownRateLimitOf(request: IncomingMessage): number | undefined {
  const perS = Number(request.headers[hopHeaders.knownRateLimit]);
  return perS > 0 ? perS : undefined;
}

function requestIdOf(request: IncomingMessage): string | undefined {
  return request.headers[wireHeaders.requestId] as string | undefined;
}
