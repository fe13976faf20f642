import {discardResponse} from '@carobseam/calls.exchange';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {wireHeaders} from '@carobseam/platform.adapter';
import {forwardedHeaders} from './forwarded_headers.js';
import {
  decodeHopRequest,
  encodeHopResponse,
  hopHeaders,
  toQueuedRequest,
} from './hop_message.js';
import {BodyTooLargeError, readBody} from './read_body.js';
import type {RelayContext} from './relay_context.js';
import {sendResponse} from './send_response.js';
import type {GateResult, GateTicket} from './worker_gate.js';

const FIRST_INTERIM_MS = 150; // below it most responses come by themselves
const INTERIM_INTERVAL_MS = 200; // two interim responses fit into the silence that a peer accepts
const MAX_BODY_BYTES = 1024 * 1024 * 1024; // the sending relay has applied the caller's limit
const DROPPED = new Set<string>([
  hopHeaders.request,
  wireHeaders.deadlineMs,
  wireHeaders.expectedWorker,
]);

/** Options of `InboundHandler`. */
export type InboundHandlerOptions = Pick<
  RelayContext,
  | 'clock'
  | 'workerGate'
  | 'log'
  | 'isDraining'
  | 'shutdownDeadlineMs'
  | 'isRefusingNewRequests'
>;

/** Takes requests that other relays send to the worker beside this one. */
export class InboundHandler {
  readonly #options: InboundHandlerOptions;
  #active = 0;

  constructor(options: InboundHandlerOptions) {
    this.#options = options;
  }

  /** Requests under way. */
  get activeCount(): number {
    return this.#active;
  }

  handle(request: IncomingMessage, response: ServerResponse): void {
    this.#active++;
    response.sendDate = false;
    response.once('close', () => this.#active--);
    this.#serve(request, response).catch(error => {
      const isTooLarge = error instanceof BodyTooLargeError;
      this.#options.log.gateDecision('bodyFailed', {
        id: idOf(request),
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
    const {clock, workerGate: gate} = this.#options;
    const hop = decodeHopRequest(
      request.headers[hopHeaders.request] as string | undefined,
    );
    if (!hop) {
      response.writeHead(400);
      response.end();
      return;
    }
    const queue = toQueuedRequest(hop, clock.monotonicMs());
    queue.expiresMs = Math.min(
      queue.expiresMs,
      this.#options.shutdownDeadlineMs(),
    );
    const body = await readBody(request, MAX_BODY_BYTES);
    if (this.#options.isRefusingNewRequests()) {
      const leaving = {reason: 'relayLeaves', retryAfterMs: 0};
      this.#answer(request, response, {verdict: 'notSent', ...leaving});
      return;
    }
    const headers = forwardedHeaders(request.rawHeaders, DROPPED);
    headers.push(wireHeaders.expectedWorker, hop.worker);
    const ticket = gate.take({
      worker: hop.worker,
      isIdempotent: hop.isIdempotent,
      queue,
      method: request.method!,
      url: request.url!,
      headers,
      body,
      requestId: idOf(request),
    });
    this.#sendInterimResponses(response, ticket);
    const result = await ticket.result;
    if (response.destroyed) {
      discardResponse(result.response);
      return;
    }
    this.#answer(request, response, result);
  }

  /** Tells the sender that this relay still works on its request. */
  #sendInterimResponses(response: ServerResponse, ticket: GateTicket): void {
    const {clock} = this.#options;
    const sendInterim = () => {
      if (!response.headersSent && !response.destroyed) {
        response.writeProcessing();
        timer = clock.setTimer(INTERIM_INTERVAL_MS, sendInterim);
      }
    };
    let timer = clock.setTimer(FIRST_INTERIM_MS, sendInterim);
    response.once('close', () => {
      timer.cancel();
      if (!response.writableFinished) {
        ticket.callerLeft();
      }
    });
  }

  #answer(
    request: IncomingMessage,
    response: ServerResponse,
    result: GateResult,
  ): void {
    const {workerGate: gate, log, isDraining: isLeaving} = this.#options;
    const load = gate.load;
    const verdict = encodeHopResponse({
      verdict: result.verdict,
      reason: result.reason,
      retryAfterMs: result.retryAfterMs,
      load: {...load, isLeaving: load.isLeaving || isLeaving()},
    });
    if (result.verdict !== 'answered') {
      log.gateDecision(result.reason, {
        id: idOf(request),
        outcome: result.verdict,
        running: load.running,
        queued: load.queued.join(),
        serviceMs: Math.round(load.meanServiceMs),
      });
    }
    if (result.response) {
      sendResponse(response, result.response, [hopHeaders.response, verdict]);
      return;
    }
    response.writeHead(503, [
      hopHeaders.response,
      verdict,
      'Content-Length',
      '0',
    ]);
    response.end();
  }
}

function idOf(request: IncomingMessage): string | undefined {
  return request.headers[wireHeaders.requestId] as string | undefined;
}
