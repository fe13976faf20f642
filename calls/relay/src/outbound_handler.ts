import {discardResponse} from '@carobseam/calls.exchange';
import {pickService, type MeshRoute} from '@carobseam/config.mesh';
import type {LogFields} from '@carobseam/core.logger';
import {wireHeaders} from '@carobseam/platform.adapter';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {forwardedHeaders} from './forwarded_headers.js';
import {hopHeaders} from './hop_message.js';
import {BodyTooLargeError, readBody} from './read_body.js';
import type {RelayContext} from './relay_context.js';
import {RequestRun, type RunEnd, type RunRequest} from './request_run.js';
import {retryAfterMs} from './retry_after.js';
import {sendResponse} from './send_response.js';

const NO_CONFIG_RETRY_MS = 200; // a started relay reads its configuration within it
const LEAVING_RETRY_MS = 50; // another relay of the data centre serves at once
const DEADLINE_MARGIN_MS = 10; // so that the answer reaches a caller that still waits
const DROPPED = new Set<string>([
  hopHeaders.request,
  hopHeaders.response,
  wireHeaders.deadlineMs,
  wireHeaders.expectedWorker,
  wireHeaders.callerService,
]);

/** Takes requests of the callers and of the worker on this VM. */
export class OutboundHandler {
  readonly #context: RelayContext;
  readonly #pendingEnds = new Set<() => void>();
  #active = 0;

  constructor(context: RelayContext) {
    this.#context = context;
  }

  /** Requests under way. */
  get activeCount(): number {
    return this.#active;
  }

  /** Answers what is still under way; the relay is about to end. */
  abortAll(): void {
    this.#pendingEnds.forEach(end => end());
  }

  handle(request: IncomingMessage, response: ServerResponse): void {
    this.#active++;
    response.sendDate = false;
    response.once('close', () => this.#active--);
    const arrivedMs = this.#context.clock.monotonicMs();
    this.#serve(request, response, arrivedMs).catch(error => {
      const isTooLarge = error instanceof BodyTooLargeError;
      this.#ended(request, arrivedMs, 'bodyFailed', {cause: String(error)});
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
      this.#withoutRoute(request, response, arrivedMs);
      return;
    }
    if (this.#context.isRefusingNewRequests()) {
      request.resume();
      this.#ended(request, arrivedMs, 'relayLeaves', {route: route.name});
      this.#refuse(response, 503, retryAfterHeader(LEAVING_RETRY_MS));
      return;
    }
    const body = await readBody(request, state.config!.limits.maxBodyBytes);
    const times = this.#timesOf(request, route, arrivedMs);
    const run = new RequestRun(this.#context, {
      ...times,
      id: headerOf(request, wireHeaders.requestId),
      route,
      service,
      method: request.method!,
      url: request.url!,
      headers: this.#headersOf(request),
      body,
    });
    await this.#follow(request, response, run, {...times, route, arrivedMs});
  }

  /** Runs a request until its answer, its timeout or its caller's leaving. */
  async #follow(
    request: IncomingMessage,
    response: ServerResponse,
    run: RequestRun,
    times: RunTimes & {route: MeshRoute; arrivedMs: number},
  ): Promise<void> {
    const {clock} = this.#context;
    const {route, arrivedMs} = times;
    const end = (outcome: string) => {
      const status = run.mayHaveRun ? 504 : 503;
      this.#ended(request, arrivedMs, outcome, {route: route.name, status});
      this.#refuse(response, status, []);
      run.callerLeft();
    };
    const endEarly = () => end('relayEnds');
    this.#pendingEnds.add(endEarly);
    const expiry = clock.setTimer(
      times.expiresMs - clock.monotonicMs() - DEADLINE_MARGIN_MS,
      () => end('timeout'),
    );
    response.once('close', () => {
      this.#pendingEnds.delete(endEarly);
      expiry.cancel();
      if (!response.writableFinished) {
        run.callerLeft();
      }
    });
    const runEnd = await run.run();
    if (response.headersSent || response.destroyed) {
      if (runEnd.kind === 'response') {
        discardResponse(runEnd.response);
      }
      if (!response.writableEnded) {
        this.#ended(request, arrivedMs, 'callerLeft', {route: route.name});
      }
      return;
    }
    expiry.cancel();
    ANSWERS[runEnd.kind](runEnd as never, {
      response,
      times,
      context: this.#context,
      refuse: (status, headers) => this.#refuse(response, status, headers),
      extra: this.#connectionHeaders(),
      ended: (outcome, fields) =>
        this.#ended(request, arrivedMs, outcome, {
          route: route.name,
          ...fields,
        }),
    });
  }

  #timesOf(
    request: IncomingMessage,
    route: MeshRoute,
    arrivedMs: number,
  ): RunTimes {
    const stated = Number(headerOf(request, wireHeaders.deadlineMs));
    const deadlineMs = stated > 0 ? stated : route.timeoutMs;
    const patience = this.#context.callerDeadlines.of(route, deadlineMs);
    return {
      dueMs: arrivedMs + patience.dueInMs,
      isLastChance: patience.isLastChance,
      hasReturned: patience.hasReturned,
      // A request that waits beyond the end of this relay would be cut.
      expiresMs: Math.min(
        arrivedMs + Math.min(deadlineMs, route.timeoutMs),
        this.#context.shutdownDeadlineMs(),
      ),
      callerLeavesMs: arrivedMs + deadlineMs,
    };
  }

  #headersOf(request: IncomingMessage): string[] {
    const headers = forwardedHeaders(request.rawHeaders, DROPPED);
    headers.push(wireHeaders.callerService, this.#context.service);
    return headers;
  }

  #withoutRoute(
    request: IncomingMessage,
    response: ServerResponse,
    arrivedMs: number,
  ): void {
    if (!this.#context.state.config) {
      this.#ended(request, arrivedMs, 'noConfig', {});
      this.#refuse(response, 503, retryAfterHeader(NO_CONFIG_RETRY_MS));
      return;
    }
    this.#ended(request, arrivedMs, 'noRoute', {
      host: request.headers.host,
      version: this.#context.state.config.version,
    });
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
    response.writeHead(status, [
      ...headers,
      ...this.#connectionHeaders(),
      'Content-Length',
      '0',
    ]);
    response.end();
  }

  #connectionHeaders(): string[] {
    return this.#context.isDraining() ? ['Connection', 'close'] : [];
  }

  #ended(
    request: IncomingMessage,
    arrivedMs: number,
    outcome: string,
    fields: LogFields,
  ): void {
    const durationMs = this.#context.clock.monotonicMs() - arrivedMs;
    this.#context.log.requestEnded(outcome, durationMs, {
      id: headerOf(request, wireHeaders.requestId),
      ...fields,
    });
  }
}

interface RunTimes extends Pick<
  RunRequest,
  'dueMs' | 'expiresMs' | 'isLastChance'
> {
  hasReturned: boolean;
  /** When the caller stops waiting, on the monotonic clock, in ms. */
  callerLeavesMs: number;
}

interface AnswerTools {
  response: ServerResponse;
  times: RunTimes;
  context: RelayContext;
  refuse: (status: number, headers: readonly string[]) => void;
  extra: readonly string[];
  ended: (outcome: string, fields: LogFields) => void;
}

type EndOf<Kind extends RunEnd['kind']> = Extract<RunEnd, {kind: Kind}>;

const ANSWERS: {
  [Kind in RunEnd['kind']]: (end: EndOf<Kind>, tools: AnswerTools) => void;
} = {
  response: (end, tools) => {
    const {status} = end.response;
    tools.ended('answered', {status, attempts: end.attempts});
    sendResponse(tools.response, end.response, tools.extra);
  },
  refused: (end, tools) => {
    const nowMs = tools.context.clock.monotonicMs();
    const afterMs = retryAfterMs({
      dueInMs: tools.times.dueMs - nowMs,
      hasReturned: tools.times.hasReturned,
      callerLeftMs: tools.times.callerLeavesMs - nowMs,
      waitMs: end.waitMs,
      serviceMs: end.serviceMs,
      random: tools.context.random,
    });
    tools.ended('refused', {
      reason: end.reason,
      retryAfterMs: Math.round(afterMs),
    });
    tools.refuse(503, retryAfterHeader(afterMs));
  },
  unknown: (end, tools) => {
    tools.ended('unknown', {reason: end.reason});
    tools.refuse(502, []);
  },
};

const MS_PER_S = 1000;

function retryAfterHeader(afterMs: number): string[] {
  return ['Retry-After', (afterMs / MS_PER_S).toFixed(3)];
}

function headerOf(request: IncomingMessage, name: string): string | undefined {
  return request.headers[name] as string | undefined;
}
