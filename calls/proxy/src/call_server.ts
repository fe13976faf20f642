import {LoadBalancer} from '@carobseam/calls.balancing';
import {
  isDepthAllowed,
  parseIntegerHeader,
  RetryDecider,
} from '@carobseam/calls.retries';
import {resolveRoute} from '@carobseam/calls.routing';
import {
  callHeaders,
  refusalDefinitions,
  type RefusalReason,
} from '@carobseam/calls.types';
import {startListening} from '@carobseam/core.net';
import type {Controller, Timer, VmId} from '@carobseam/core.types';
import {
  createServer,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  type Server,
  type ServerResponse,
} from 'node:http';
import {Call} from './call.js';
import {readCall} from './read_call.js';
import type {CallDependencies, CallServerOptions} from './call_dependencies.js';
import {GuardedAgent} from './guarded_agent.js';
import {sendRefusal} from './send_refusal.js';
import {LocalWorker} from './local_worker.js';

const DEFAULT_LEAVING_NOTICE_MS = 500;
/** Callers and peers reuse idle connections for less than this time, ms. */
const KEEP_ALIVE_TIMEOUT_MS = 65_000;
const LOAD_INTERVAL_MS = 200;
const CLOSE_POLL_MS = 20;

/** Accepts calls and forwards them to the own worker or to a peer. */
export class CallServer implements Controller {
  readonly #parts: CallDependencies;
  readonly #server: Server;
  readonly #peerAgent = new GuardedAgent();
  readonly #calls = new Set<Call>();
  /** Calls that peers forwarded and that have not ended. */
  readonly #hopCallIds = new Set<string>();
  readonly #observers: (() => void)[] = [];
  #callCount = 0;
  #loadTimer?: Timer;
  #closed?: Promise<void>;
  #onIdle?: () => void;

  constructor(options: CallServerOptions) {
    this.#parts = {
      ...options,
      localWorker: new LocalWorker(options),
      balancer: new LoadBalancer(options),
      retries: new RetryDecider(options),
      peerAgent: this.#peerAgent,
      nextCallId: () => `${options.vmId}.${this.#callCount++}`,
    };
    this.#server = createServer((req, res) => this.#handle(req, res));
    this.#server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
    // Its default of 300 s would cut long uploads; deadlines bound them.
    this.#server.requestTimeout = 0;
  }

  /** @throws CarobseamError `LISTEN_FAILED`. */
  async start(): Promise<void> {
    this.#observe();
    const {address, port} = this.#parts;
    await startListening({
      server: this.#server,
      listen: done => this.#server.listen(port, address, done),
      endpoint: `callers endpoint ${address}:${port}`,
      hint: 'choose a free port as callers.port in the settings',
    });
    this.#publishLoad();
  }

  /** Port that the server listens on. */
  get port(): number {
    const address = this.#server.address();
    return typeof address === 'object' && address ? address.port : 0;
  }

  /** Refuses new calls and waits for those in flight. */
  close(): Promise<void> {
    this.#closed ??= this.#shutDown();
    return this.#closed;
  }

  async #shutDown(): Promise<void> {
    const {
      clock,
      leavingNoticeMs,
      shutdownTimeoutMs,
      localWorker: gate,
    } = this.#parts;
    const wasListening = this.#server.listening;
    if (wasListening) {
      // Callers learn from a refusal that they should go elsewhere, which a
      // refused connection or a reset would not tell for certain.
      const noticeMs = leavingNoticeMs ?? DEFAULT_LEAVING_NOTICE_MS;
      await new Promise<void>(done => clock.setTimer(noticeMs, done));
    }
    const closed = new Promise<void>(done => this.#server.close(() => done()));
    this.#server.closeIdleConnections();
    const endMs = clock.monotonicMs() + shutdownTimeoutMs;
    await this.#waitForCalls(shutdownTimeoutMs);
    await this.#closeConnections(closed, endMs);
    this.#observers.forEach(remove => remove());
    this.#loadTimer?.cancel();
    this.#peerAgent.destroy();
    gate.close();
  }

  async #waitForCalls(timeoutMs: number): Promise<void> {
    if (this.#calls.size === 0) {
      return;
    }
    const {clock, logger} = this.#parts;
    await new Promise<void>(resolve => {
      const timer = clock.setTimer(timeoutMs, resolve);
      this.#onIdle = () => {
        timer.cancel();
        resolve();
      };
    });
    if (this.#calls.size > 0) {
      logger.warn('calls_interrupted', {calls: this.#calls.size});
    }
    for (const call of this.#calls) {
      call.interrupt();
    }
  }

  /** Lets the last responses leave before their connections are closed. */
  async #closeConnections(closed: Promise<void>, endMs: number): Promise<void> {
    const {clock} = this.#parts;
    let isClosed = false;
    void closed.then(() => (isClosed = true));
    do {
      this.#server.closeIdleConnections();
      await new Promise<void>(done => clock.setTimer(CLOSE_POLL_MS, done));
    } while (!isClosed && clock.monotonicMs() < endMs);
    this.#server.closeAllConnections();
    await closed;
  }

  #observe(): void {
    const {blackboard, localWorker: gate, balancer} = this.#parts;
    gate.applySnapshot(blackboard.read('snapshot'));
    this.#observers.push(
      blackboard.observe('snapshot', snapshot => gate.applySnapshot(snapshot)),
      blackboard.observe('lastResume', () => gate.admission.recheck()),
      blackboard.observe('endpoints', endpoints => {
        const known = new Set<VmId>();
        for (const workers of endpoints.values()) {
          workers.forEach(worker => known.add(worker.vmId));
        }
        balancer.retainOnly(known);
      }),
    );
  }

  #publishLoad(): void {
    const {blackboard, clock, localWorker: gate, metrics} = this.#parts;
    const load = gate.admission.load();
    const last = blackboard.read('localLoad');
    const isSame =
      load.running === last.running &&
      load.queued === last.queued &&
      load.slots === last.slots;
    if (!isSame) {
      blackboard.write('localLoad', load);
      metrics.set('carobseam_slots_busy', load.running);
    }
    this.#loadTimer = clock.setTimer(LOAD_INTERVAL_MS, () =>
      this.#publishLoad(),
    );
  }

  #handle(req: IncomingMessage, res: ServerResponse): void {
    const {headers} = req;
    const {blackboard, vmId} = this.#parts;
    if (headers[callHeaders.probe] !== undefined) {
      this.#answerProbe(String(headers[callHeaders.probe]), res);
      return;
    }
    if (blackboard.read('lifecycle') === 'leaving') {
      this.#refuse(req, res, 'leaving');
      return;
    }
    const hop = headers[callHeaders.hop];
    if (hop !== undefined && hop !== vmId) {
      // The peer means another VM that had this address before.
      this.#refuse(req, res, 'not_owner');
      return;
    }
    this.#accept(req, res, hop !== undefined);
  }

  #accept(req: IncomingMessage, res: ServerResponse, isHop: boolean): void {
    const snapshot = this.#parts.blackboard.read('snapshot');
    if (!snapshot) {
      this.#refuse(req, res, 'starting');
      return;
    }
    const resolved = resolveRoute(snapshot, req.method!, req.url!);
    if (!resolved) {
      this.#refuse(req, res, 'no_route');
      return;
    }
    const depth = parseIntegerHeader(req.headers[callHeaders.depth]) ?? 0;
    const deadline =
      parseIntegerHeader(req.headers[callHeaders.deadline]) ??
      resolved.policy.timeoutMs;
    if (Number.isNaN(depth) || Number.isNaN(deadline)) {
      this.#refuse(req, res, 'header_invalid');
      return;
    }
    if (!isDepthAllowed(depth)) {
      this.#refuse(req, res, 'depth_exceeded');
      return;
    }
    const data = readCall({
      req,
      resolved,
      depth,
      timeoutMs: deadline,
      clock: this.#parts.clock,
      issueKey: this.#parts.issueKey,
    });
    if (!data) {
      this.#refuse(req, res, 'key_invalid');
      return;
    }
    const call = new Call({
      parts: this.#parts,
      data,
      res,
      isHop,
      onEnd: this.#onEnd,
    });
    this.#calls.add(call);
    if (isHop) {
      this.#hopCallIds.add(callIdOf(req));
    }
    call.start();
  }

  readonly #onEnd = (call: Call): void => {
    this.#calls.delete(call);
    if (call.isHop) {
      this.#hopCallIds.delete(callIdOf(call.req));
    }
    if (this.#calls.size === 0) {
      this.#onIdle?.();
    }
  };

  #answerProbe(callId: string, res: ServerResponse): void {
    const isKnown = this.#hopCallIds.has(callId);
    res.writeHead(204, {[callHeaders.probe]: isKnown ? 'known' : 'unknown'});
    res.end();
  }

  #refuse(
    req: IncomingMessage,
    res: ServerResponse,
    reason: RefusalReason,
  ): void {
    const isKeyed = req.headers[callHeaders.idempotencyKey] !== undefined;
    const isFirst = req.headers[callHeaders.firstSend] === '1';
    // An earlier send of the key may have run, so `not-run` is not sure. A
    // malformed key has never run.
    const isUnsure = isKeyed && !isFirst && reason !== 'key_invalid';
    const stated = isUnsure ? 'owner_unknown' : reason;
    this.#parts.metrics.increment('carobseam_refusals_total', {
      refusal: refusalDefinitions[stated].kind,
      reason: stated,
    });
    const headers: OutgoingHttpHeaders = {};
    if (reason === 'leaving') {
      headers[callHeaders.leaving] = '1';
      headers.connection = 'close';
    }
    sendRefusal(res, stated, undefined, headers);
  }
}

function callIdOf(req: IncomingMessage): string {
  return String(req.headers[callHeaders.callId]);
}
