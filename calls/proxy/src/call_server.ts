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
import {LatestRequests, startListening} from '@carobseam/core.net';
import type {Controller, Timer, VmId} from '@carobseam/core.types';
import {
  createServer,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  type Server,
  type ServerResponse,
} from 'node:http';
import {setImmediate} from 'node:timers/promises';
import {Call} from './call.js';
import type {ProbeAnswer} from './probes.js';
import {readCall} from './read_call.js';
import type {CallDependencies, CallServerOptions} from './call_dependencies.js';
import {KeepAliveAgent} from './keep_alive_agent.js';
import {sendRefusal} from './send_refusal.js';
import {LocalWorker} from './local_worker.js';

const DEFAULT_LEAVING_NOTICE_MS = 500;
// Callers and peers close idle connections earlier, so the server does not
// close a connection that they are about to reuse.
const KEEP_ALIVE_TIMEOUT_MS = 65_000;
const LOAD_PUBLISH_INTERVAL_MS = 200;
const CLOSE_POLL_MS = 20;
/** Bound for calls that arrive without a pause. */
const MAX_LATE_READS_MS = 1000;

/**
 * HTTP server of a daemon. It accepts calls from callers and peers and runs
 * them on the local worker or forwards them to a peer. `close` drains the
 * calls.
 */
export class CallServer implements Controller {
  readonly #dependencies: CallDependencies;
  readonly #server: Server;
  readonly #peerAgent = new KeepAliveAgent();
  readonly #calls = new Set<Call>();
  /** Calls in flight that peers have forwarded, by their identifiers. */
  readonly #forwardedCalls = new Map<string, Call>();
  readonly #stopObservers: (() => void)[] = [];
  #callCount = 0;
  /** Connections and requests that have arrived. */
  #arrivalCount = 0;
  #loadTimer?: Timer;
  #closePromise?: Promise<void>;
  #onAllCallsFinished?: () => void;

  constructor(options: CallServerOptions) {
    this.#dependencies = {
      ...options,
      localWorker: new LocalWorker(options),
      loadBalancer: new LoadBalancer(options),
      retryDecider: new RetryDecider(options),
      peerAgent: this.#peerAgent,
      latestRequests: new LatestRequests(),
      createCallId: () => `${options.vmId}.${this.#callCount++}`,
    };
    this.#server = createServer((req, res) => this.#handleRequest(req, res));
    this.#server.on('connection', () => this.#arrivalCount++);
    this.#server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
    // The default of 300 s would abort long uploads; deadlines bound them.
    this.#server.requestTimeout = 0;
  }

  /** @throws CarobseamError `LISTEN_FAILED`. */
  async start(): Promise<void> {
    this.#observeBlackboard();
    const {address, port} = this.#dependencies;
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

  /** Refuses new calls and waits for the calls in flight. */
  close(): Promise<void> {
    this.#closePromise ??= this.#shutDown();
    return this.#closePromise;
  }

  async #shutDown(): Promise<void> {
    const {clock, leavingNoticeMs, shutdownTimeoutMs, localWorker} =
      this.#dependencies;
    const wasListening = this.#server.listening;
    if (wasListening) {
      // A `leaving` refusal tells callers for certain that their call was not
      // executed and that they should use another daemon. A refused or reset
      // connection does not.
      const noticeMs = leavingNoticeMs ?? DEFAULT_LEAVING_NOTICE_MS;
      await new Promise<void>(done => clock.setTimer(noticeMs, done));
      await this.#readWaitingCalls();
    }
    const closed = new Promise<void>(done => this.#server.close(() => done()));
    this.#server.closeIdleConnections();
    const deadlineMs = clock.monotonicMs() + shutdownTimeoutMs;
    await this.#waitForCalls(shutdownTimeoutMs);
    await this.#closeConnections(closed, deadlineMs);
    this.#stopObservers.forEach(remove => remove());
    this.#loadTimer?.cancel();
    this.#peerAgent.destroy();
    localWorker.close();
  }

  /**
   * Waits until turns of the event loop read nothing more. After a delay, timers
   * run before waiting connections are accepted, one in a turn, and read.
   */
  async #readWaitingCalls(): Promise<void> {
    const {clock} = this.#dependencies;
    const endMs = clock.monotonicMs() + MAX_LATE_READS_MS;
    let arrivalCount: number;
    do {
      arrivalCount = this.#arrivalCount;
      await setImmediate();
      await setImmediate();
    } while (
      arrivalCount !== this.#arrivalCount &&
      clock.monotonicMs() < endMs
    );
  }

  async #waitForCalls(timeoutMs: number): Promise<void> {
    if (this.#calls.size === 0) {
      return;
    }
    const {clock, logger} = this.#dependencies;
    await new Promise<void>(resolve => {
      const timer = clock.setTimer(timeoutMs, resolve);
      this.#onAllCallsFinished = () => {
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

  /** Closes the connections after the last responses have been sent. */
  async #closeConnections(
    closed: Promise<void>,
    deadlineMs: number,
  ): Promise<void> {
    const {clock} = this.#dependencies;
    let isClosed = false;
    void closed.then(() => (isClosed = true));
    do {
      this.#server.closeIdleConnections();
      await new Promise<void>(done => clock.setTimer(CLOSE_POLL_MS, done));
    } while (!isClosed && clock.monotonicMs() < deadlineMs);
    this.#server.closeAllConnections();
    await closed;
  }

  #observeBlackboard(): void {
    const {blackboard, localWorker, loadBalancer} = this.#dependencies;
    localWorker.applySnapshot(blackboard.read('snapshot'));
    this.#stopObservers.push(
      blackboard.observe('snapshot', snapshot =>
        localWorker.applySnapshot(snapshot),
      ),
      blackboard.observe('lastResume', () => localWorker.admission.recheck()),
      blackboard.observe('endpoints', endpoints => {
        const listedVmIds = new Set<VmId>();
        for (const workers of endpoints.values()) {
          workers.forEach(worker => listedVmIds.add(worker.vmId));
        }
        loadBalancer.retainOnly(listedVmIds);
      }),
    );
  }

  #publishLoad(): void {
    const {blackboard, clock, localWorker, metrics} = this.#dependencies;
    const load = localWorker.admission.load();
    const last = blackboard.read('localLoad');
    const isSame =
      load.running === last.running &&
      load.queued === last.queued &&
      load.slots === last.slots;
    if (!isSame) {
      blackboard.write('localLoad', load);
      metrics.set('carobseam_slots_busy', load.running);
    }
    this.#loadTimer = clock.setTimer(LOAD_PUBLISH_INTERVAL_MS, () =>
      this.#publishLoad(),
    );
  }

  #handleRequest(req: IncomingMessage, res: ServerResponse): void {
    const {headers} = req;
    const {blackboard, vmId, latestRequests} = this.#dependencies;
    latestRequests.record(req);
    this.#arrivalCount++;
    if (headers[callHeaders.probe] !== undefined) {
      this.#respondToProbe(String(headers[callHeaders.probe]), res);
      return;
    }
    if (blackboard.read('lifecycle') === 'leaving') {
      this.#refuse(req, res, 'leaving');
      return;
    }
    const hop = headers[callHeaders.hop];
    if (hop !== undefined && hop !== vmId) {
      // The peer addressed another VM that had this address before.
      this.#refuse(req, res, 'not_owner');
      return;
    }
    this.#acceptCall(req, res, hop !== undefined);
  }

  #acceptCall(
    req: IncomingMessage,
    res: ServerResponse,
    isForwarded: boolean,
  ): void {
    const snapshot = this.#dependencies.blackboard.read('snapshot');
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
      clock: this.#dependencies.clock,
      issueKey: this.#dependencies.issueKey,
    });
    if (!data) {
      this.#refuse(req, res, 'key_invalid');
      return;
    }
    const call = new Call({
      deps: this.#dependencies,
      data,
      res,
      isForwarded,
      onFinished: this.#onCallFinished,
    });
    this.#calls.add(call);
    if (isForwarded) {
      this.#forwardedCalls.set(callIdOf(req), call);
    }
    call.start();
  }

  readonly #onCallFinished = (call: Call): void => {
    this.#calls.delete(call);
    if (call.isForwarded) {
      this.#forwardedCalls.delete(callIdOf(call.req));
    }
    if (this.#calls.size === 0) {
      this.#onAllCallsFinished?.();
    }
  };

  #respondToProbe(callId: string, res: ServerResponse): void {
    const call = this.#forwardedCalls.get(callId);
    const knownAnswer = call?.isWorkerSilent ? 'worker_silent' : 'known';
    const answer: ProbeAnswer = call ? knownAnswer : 'unknown';
    res.writeHead(204, {[callHeaders.probe]: answer});
    res.end();
  }

  #refuse(
    req: IncomingMessage,
    res: ServerResponse,
    reason: RefusalReason,
  ): void {
    const isKeyed = req.headers[callHeaders.idempotencyKey] !== undefined;
    const isFirstSend = req.headers[callHeaders.firstSend] === '1';
    // An earlier attempt with this key may have been executed, so `not-run`
    // would not be certain. A malformed key is never executed.
    const mayHaveRun = isKeyed && !isFirstSend && reason !== 'key_invalid';
    const statedReason = mayHaveRun ? 'owner_unknown' : reason;
    this.#dependencies.metrics.increment('carobseam_refusals_total', {
      refusal: refusalDefinitions[statedReason].kind,
      reason: statedReason,
    });
    const headers: OutgoingHttpHeaders = {};
    if (reason === 'leaving') {
      headers[callHeaders.leaving] = '1';
      headers.connection = 'close';
    }
    sendRefusal(res, statedReason, undefined, headers);
  }
}

function callIdOf(req: IncomingMessage): string {
  return String(req.headers[callHeaders.callId]);
}
