import {discardResponse} from '@carobseam/calls.exchange';
import {LATE_CLASS, priorityClassOf} from '@carobseam/calls.worker_queue';
import {pickService, type MeshRoute} from '@carobseam/config.mesh';
import type {LogFields} from '@carobseam/core.logger';
import {endAfterUpload} from '@carobseam/core.net';
import {wireHeaders} from '@carobseam/platform.adapter';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Readable} from 'node:stream';
import {ClosingConnections} from './closing_connections.js';
import {deadlineOf, headerOf} from './caller_headers.js';
import type {DispatchResult} from './dispatched_request.js';
import {
  isStreamed,
  RESPONDERS,
  type RequestTimes,
} from './caller_responders.js';
import {forwardedHeaders} from './forwarded_headers.js';
import {hopHeaders} from './hop_message.js';
import {roundMs} from './log_times.js';
import {BodyTooLargeError, readBody} from './read_body.js';
import type {RelayContext} from './relay_context.js';
import {FIRST_INTAKE_CLASS} from './request_intake.js';
import {expectedServiceMs, RequestDispatcher} from './request_dispatcher.js';
import {retryAfterHeader} from './retry_after.js';
import {breakOff} from './send_response.js';
import {hasSenderLeft, onceClosed} from './sender_presence.js';

const NO_CONFIG_RETRY_MS = 200; // a relay reads its configuration within this time after its start
const STALE_CONFIG_RETRY_MS = 500; // a relay that has lost its readers follows others or reads the source in about this time
const DRAINING_RETRY_MS = 50; // another relay of the data centre can serve the retry at once
const DEADLINE_MARGIN_MS = 10; // so that the response reaches the caller before its deadline
const EXCLUDED_HEADERS = new Set<string>([
  hopHeaders.request,
  hopHeaders.response,
  hopHeaders.knownRateLimit,
  hopHeaders.resent,
  hopHeaders.sentAt,
  hopHeaders.statement,
  wireHeaders.deadlineMs,
  wireHeaders.expectedWorker,
  wireHeaders.callerService,
]);

/**
 * Handles the requests that callers and the local worker send through this
 * relay.
 */
export class OutboundHandler {
  readonly #context: RelayContext;
  readonly #abortCallbacks = new Set<() => void>();
  readonly #closingConnections = new ClosingConnections();
  #activeCount = 0;

  readonly #readDelays = new WeakMap<IncomingMessage, number>();

  constructor(context: RelayContext) {
    this.#context = context;
  }

  /** Number of requests in flight. */
  get activeCount(): number {
    return this.#activeCount;
  }

  /**
   * Responds to all requests in flight with an error, because the relay is
   * about to exit.
   */
  abortAll(): void {
    this.#abortCallbacks.forEach(abort => abort());
  }

  handle(request: IncomingMessage, response: ServerResponse): void {
    if (!this.#closingConnections.record(request)) {
      request.resume();
      return;
    }
    this.#activeCount++;
    response.sendDate = false;
    onceClosed(request, response, () => this.#activeCount--);
    this.#readDelays.set(request, this.#context.readDelayOf(request));
    const arrivedMs = this.#context.clock.monotonicMs();
    this.#serve(request, response, arrivedMs).catch(error => {
      const isTooLarge = error instanceof BodyTooLargeError;
      this.#recordEnd(request, arrivedMs, 'bodyFailed', {cause: String(error)});
      if (isTooLarge && !response.headersSent) {
        this.#refuse(response, 413, []);
      } else {
        response.destroy();
      }
    });
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
    arrivedMs: number,
  ): Promise<void> {
    const {state, random} = this.#context;
    const route = state.routes?.find(
      request.headers.host ?? '',
      request.url ?? '/',
    );
    const service = route && pickService(route, random);
    if (!route || !service) {
      request.resume();
      this.#refuseWithoutRoute(request, response, arrivedMs);
      return;
    }
    const refuseIfLeaving = () => {
      if (!this.#isRefused(request, route, arrivedMs)) {
        return false;
      }
      request.resume();
      this.#recordEnd(request, arrivedMs, 'relayLeaves', {route: route.name});
      this.#refuse(response, 503, retryAfterHeader(DRAINING_RETRY_MS));
      return true;
    };
    if (refuseIfLeaving()) {
      return;
    }
    let body: Buffer | Readable;
    this.#abortCallbacks.add(refuseIfLeaving);
    try {
      body = await readBody(request, state.config!.limits.maxBodyBytes);
    } finally {
      this.#abortCallbacks.delete(refuseIfLeaving);
    }
    // The rest of the body may have arrived long after the headers.
    if (refuseIfLeaving()) {
      return;
    }
    const times = {
      ...this.#computeTimes(request, route, arrivedMs),
      route,
      arrivedMs,
    };
    const run = () => {
      const dispatcher = new RequestDispatcher(this.#context, {
        ...times,
        id: headerOf(request, wireHeaders.requestId),
        service,
        method: request.method!,
        url: request.url!,
        headers: this.#forwardedHeadersOf(request),
        body,
        hasCallerLeft: () => hasSenderLeft(request),
      });
      return this.#dispatch(request, response, dispatcher, times);
    };
    await this.#takeIn(request, response, times, run);
  }

  /** Does the work on a request in its turn, or turns it away. */
  #takeIn(
    request: IncomingMessage,
    response: ServerResponse,
    times: RequestTimes & {route: MeshRoute; arrivedMs: number},
    run: () => Promise<void>,
  ): Promise<void> {
    const {route, arrivedMs, expiresAtMs} = times;
    return this.#context.intake.submit({
      priorityClass: this.#intakeClassOf(route, times),
      expiresAtMs,
      hasLeft: () => hasSenderLeft(request),
      run,
      refuse: () =>
        this.#respond(request, response, times, {
          kind: 'refused',
          reason: 'expired',
          waitMs: Infinity,
          serviceMs: expectedServiceMs(route),
        }),
      drop: () => {
        const fields = {route: route.name};
        this.#recordEnd(request, arrivedMs, 'callerLeft', fields);
        request.destroy();
      },
    });
  }

  #intakeClassOf(
    route: MeshRoute,
    {dueAtMs, isWorkerCall}: RequestTimes,
  ): number {
    if (isWorkerCall) {
      return FIRST_INTAKE_CLASS;
    }
    const latestStartMs = dueAtMs - expectedServiceMs(route);
    const isLate = this.#context.clock.monotonicMs() > latestStartMs;
    return (
      FIRST_INTAKE_CLASS + 1 + (isLate ? LATE_CLASS : priorityClassOf(route))
    );
  }

  /**
   * Dispatches a request and responds, unless it times out or its caller
   * disconnects first.
   */
  async #dispatch(
    request: IncomingMessage,
    response: ServerResponse,
    dispatcher: RequestDispatcher,
    times: RequestTimes & {route: MeshRoute; arrivedMs: number},
  ): Promise<void> {
    const {clock} = this.#context;
    const {route, arrivedMs} = times;
    const abort = (outcome: string) => {
      if (response.headersSent) {
        this.#breakOff(request, response, outcome, times);
        return;
      }
      if (response.destroyed) {
        return;
      }
      const status = dispatcher.mayHaveRun ? 504 : 503;
      this.#recordEnd(request, arrivedMs, outcome, {route: route.name, status});
      this.#refuse(response, status, []);
      dispatcher.cancel();
    };
    const abortOnShutdown = () => abort('relayEnds');
    this.#abortCallbacks.add(abortOnShutdown);
    const timeoutTimer = clock.setTimer(
      times.expiresAtMs - clock.monotonicMs() - DEADLINE_MARGIN_MS,
      // After a delay of the event loop, timers run before received data is read.
      () => setImmediate(abort, 'timeout'),
    );
    onceClosed(request, response, () => {
      this.#abortCallbacks.delete(abortOnShutdown);
      timeoutTimer.cancel();
      if (!response.writableFinished) {
        dispatcher.cancel();
      }
    });
    const result = await dispatcher.dispatch();
    if (response.headersSent || response.destroyed) {
      if (result.kind === 'response') {
        discardResponse(result.response);
      }
      if (!response.writableEnded) {
        this.#recordEnd(request, arrivedMs, 'callerLeft', {route: route.name});
      }
      return;
    }
    if (!isStreamed(result)) {
      timeoutTimer.cancel();
    }
    this.#respond(request, response, times, result);
  }

  #respond(
    request: IncomingMessage,
    response: ServerResponse,
    times: RequestTimes & {route: MeshRoute; arrivedMs: number},
    result: DispatchResult,
  ): void {
    const {route, arrivedMs} = times;
    RESPONDERS[result.kind](result as never, {
      response,
      times,
      clock: this.#context.clock,
      random: this.#context.random,
      refuse: (status, headers) => this.#refuse(response, status, headers),
      extraHeaders: this.#connectionHeaders(request),
      recordEnd: (outcome, fields) =>
        this.#recordEnd(request, arrivedMs, outcome, {
          route: route.name,
          ...fields,
        }),
    });
  }

  /**
   * Closes the caller's connection in the middle of a response, so that the
   * response does not look complete.
   */
  #breakOff(
    request: IncomingMessage,
    response: ServerResponse,
    reason: string,
    {route, arrivedMs}: {route: MeshRoute; arrivedMs: number},
  ): void {
    if (response.writableEnded || response.destroyed) {
      return;
    }
    const fields = {route: route.name, reason};
    this.#recordEnd(request, arrivedMs, 'brokenOff', fields);
    breakOff(response);
  }

  /**
   * Whether a leaving relay turns a request away. One whose caller cannot retry,
   * for example a worker that runs a request, is taken as long as it ends in time
   * for the exit.
   */
  #isRefused(
    request: IncomingMessage,
    route: MeshRoute,
    arrivedMs: number,
  ): boolean {
    const {callerDeadlines, isRefusingNewRequests, shutdownDeadlineMs} =
      this.#context;
    if (!isRefusingNewRequests()) {
      return false;
    }
    const deadlineMs = deadlineOf(request, route);
    const {canCallerRetry} = callerDeadlines.estimate(
      route,
      deadlineMs,
      this.#isWorkerCall(request),
    );
    const endMs = arrivedMs + Math.min(deadlineMs, route.timeoutMs);
    return canCallerRetry || endMs > shutdownDeadlineMs();
  }

  #computeTimes(
    request: IncomingMessage,
    route: MeshRoute,
    arrivedMs: number,
  ): RequestTimes {
    const deadlineMs = deadlineOf(request, route);
    const isWorkerCall = this.#isWorkerCall(request);
    const callerDeadline = this.#context.callerDeadlines.estimate(
      route,
      deadlineMs,
      isWorkerCall,
    );
    return {
      dueAtMs: arrivedMs + callerDeadline.dueInMs,
      isLastCallerAttempt: callerDeadline.isLastCallerAttempt,
      isCallerRetry: callerDeadline.isCallerRetry,
      isWorkerCall,
      // A request that is still in progress when this relay exits is aborted.
      expiresAtMs: Math.min(
        arrivedMs + Math.min(deadlineMs, route.timeoutMs),
        this.#context.shutdownDeadlineMs(),
      ),
      callerDeadlineMs: arrivedMs + deadlineMs,
    };
  }

  #isWorkerCall(request: IncomingMessage): boolean {
    return this.#context.workerGate.isCallOfWorker(
      headerOf(request, wireHeaders.requestId),
    );
  }

  #forwardedHeadersOf(request: IncomingMessage): string[] {
    const headers = forwardedHeaders(request.rawHeaders, EXCLUDED_HEADERS);
    headers.push(wireHeaders.callerService, this.#context.service);
    return headers;
  }

  #refuseWithoutRoute(
    request: IncomingMessage,
    response: ServerResponse,
    arrivedMs: number,
  ): void {
    const {config} = this.#context.state;
    if (!config) {
      this.#recordEnd(request, arrivedMs, 'noConfig', {});
      this.#refuse(response, 503, retryAfterHeader(NO_CONFIG_RETRY_MS));
      return;
    }
    const fields = {host: request.headers.host, version: config.version};
    if (!this.#context.isStateCurrent()) {
      // A newer version may have the route, and callers do not retry after 404.
      this.#recordEnd(request, arrivedMs, 'staleConfig', fields);
      this.#refuse(response, 503, retryAfterHeader(STALE_CONFIG_RETRY_MS));
      return;
    }
    this.#recordEnd(request, arrivedMs, 'noRoute', fields);
    this.#refuse(response, 404, []);
  }

  #refuse(
    response: ServerResponse,
    status: number,
    headers: readonly string[],
  ): void {
    if (response.headersSent || response.destroyed) {
      return;
    }
    const connectionHeaders = this.#connectionHeaders(response.req);
    const allHeaders = [
      ...headers,
      ...connectionHeaders,
      'Content-Length',
      '0',
    ];
    response.writeHead(status, allHeaders);
    if (connectionHeaders.length > 0) {
      endAfterUpload(response);
    } else {
      response.end();
    }
  }

  #connectionHeaders(request: IncomingMessage): string[] {
    return this.#context.isDraining()
      ? this.#closingConnections.closeAfter(request)
      : [];
  }

  #recordEnd(
    request: IncomingMessage,
    arrivedMs: number,
    outcome: string,
    fields: LogFields,
  ): void {
    const durationMs = this.#context.clock.monotonicMs() - arrivedMs;
    this.#context.log.requestEnded(outcome, durationMs, {
      id: headerOf(request, wireHeaders.requestId),
      readDelayMs: roundMs(this.#readDelays.get(request)),
      ...fields,
    });
  }
}
