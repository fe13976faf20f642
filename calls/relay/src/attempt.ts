import {discardResponse, headerValue} from '@carobseam/calls.exchange';
import {vmAddressOf, type MeshWorker} from '@carobseam/config.mesh';
import {wireHeaders} from '@carobseam/platform.adapter';
import {
  failureToAttemptResult,
  toAttemptResult,
  type AttemptResult,
} from './attempt_result.js';
import type {DispatchedRequest} from './dispatched_request.js';
import {
  decodeHopResponse,
  decodeHopStatement,
  encodeKnownRateLimit,
  encodeHopRequest,
  hopHeaders,
} from './hop_message.js';
import type {RelayContext} from './relay_context.js';

const SILENCE_INTERVAL_MS = 300; // half of the time until a hop counts as silent, so that a denied retry is tried again soon
const SILENT_HOP_MS = 600; // the worker's relay sends an interim response every 200 ms; two may be late
const DEAD_CONNECTION_MS = 1000; // a relay that answers probes all the while sends an interim response within this time

/** Options of `Attempt`. */
export interface AttemptOptions {
  context: RelayContext;
  request: DispatchedRequest;
  worker: MeshWorker;
  /** Whether an attempt at another worker has failed before. */
  isResent: boolean;
  /**
   * Called repeatedly while the hop to the worker's relay is silent.
   *
   * @param isFirst whether it is the first report of this silence.
   */
  onSilent: (silentMs: number, isFirst: boolean) => void;
}

/** One attempt to have a worker run a request, which is sent once. */
export class Attempt {
  readonly worker: MeshWorker;
  /** On the monotonic clock, in ms. */
  readonly startMs: number;
  /** Whether another attempt was started because this one is silent. */
  isHedged = false;
  readonly #options: AttemptOptions;
  #cancel: () => void = () => {};
  /** Start of the current silence of the hop, on the monotonic clock, in ms. */
  #silentSinceMs = Infinity;
  /** First answer of the relay to a probe in this silence, on the same clock. */
  #firstAnswerMs = Infinity;

  constructor(options: AttemptOptions) {
    this.#options = options;
    this.worker = options.worker;
    this.startMs = options.context.clock.monotonicMs();
  }

  /** Aborts the attempt, unless the worker runs a request that is not idempotent. */
  cancel(): void {
    this.#cancel();
  }

  send(): Promise<AttemptResult> {
    const {context} = this.#options;
    return this.worker.address === context.workerAddress
      ? this.#sendToLocalWorker()
      : this.#sendToPeer();
  }

  async #sendToLocalWorker(): Promise<AttemptResult> {
    const {context, request} = this.#options;
    const {workerGate, workerLoads} = context;
    const {id} = this.worker;
    const ticket = workerGate.submit({
      worker: id,
      isIdempotent: request.route.isIdempotent,
      scheduling: {
        rank: request.route.rank,
        isLastCallerAttempt: request.isLastCallerAttempt,
        dueAtMs: request.dueAtMs,
        expiresAtMs: request.expiresAtMs,
      },
      method: request.method,
      url: request.url,
      headers: [...request.headers, wireHeaders.expectedWorker, id],
      body: request.body,
      requestId: request.id,
      isResent: this.#options.isResent,
      hasSenderLeft: request.hasCallerLeft,
    });
    this.#cancel = () => ticket.cancel();
    const result = await ticket.result;
    workerLoads.recordReport(id, workerGate.load);
    if (result.isWorkerLeaving) {
      workerLoads.markLeaving(this.worker);
    }
    return toAttemptResult(result);
  }

  /** The metadata of a hop that is written now. */
  #hopHeaders(): string[] {
    const {context, request} = this.#options;
    const nowMs = context.clock.monotonicMs();
    const {id} = this.worker;
    const hop = encodeHopRequest({
      worker: id,
      isIdempotent: request.route.isIdempotent,
      rank: request.route.rank,
      isLastCallerAttempt: request.isLastCallerAttempt,
      dueInMs: request.dueAtMs - nowMs,
      expiresInMs: request.expiresAtMs - nowMs,
    });
    const limitPerS = context.workerLoads.knownRateLimitPerS(id);
    return [
      hopHeaders.request,
      hop,
      hopHeaders.sentAt,
      context.hopStamps.stamp(),
      ...encodeKnownRateLimit(limitPerS),
      ...(this.#options.isResent ? [hopHeaders.resent, '1'] : []),
    ];
  }

  async #sendToPeer(): Promise<AttemptResult> {
    const {context, request} = this.#options;
    const {workerLoads, peerHealth, peerPools} = context;
    const vmAddress = vmAddressOf(this.worker);
    const exchange = peerPools.poolFor(vmAddress).exchange({
      method: request.method,
      url: request.url,
      headers: () => [...request.headers, ...this.#hopHeaders()],
      isWithdrawn: () =>
        request.hasCallerLeft?.() === true ||
        context.clock.monotonicMs() >= request.expiresAtMs,
      body: request.body,
      requestId: request.id,
      silenceWatch: {
        intervalMs: SILENCE_INTERVAL_MS,
        onSilent: silentMs =>
          silentMs < SILENT_HOP_MS ? 'wait' : this.#handleSilence(silentMs),
      },
    });
    this.#cancel = () => exchange.cancel();
    const result = await exchange.result;
    if (result.kind !== 'response') {
      if (result.reason !== 'cancelled' && result.reason !== 'withdrawn') {
        peerHealth.markDown(vmAddress);
      }
      return failureToAttemptResult(result);
    }
    peerHealth.recordContact();
    const hopResponse = decodeHopResponse(
      headerValue(result.headers, hopHeaders.response),
    );
    if (hopResponse?.verdict !== 'answered') {
      discardResponse(result);
    }
    if (!hopResponse) {
      return {outcome: 'unknown', reason: 'noVerdict', waitMs: 0};
    }
    const {rateLimit, isWorkerLeaving} = decodeHopStatement(
      headerValue(result.headers, hopHeaders.statement),
    );
    workerLoads.recordReport(this.worker.id, {...hopResponse.load, rateLimit});
    if (isWorkerLeaving) {
      workerLoads.markLeaving(this.worker);
    }
    return toAttemptResult({...hopResponse, response: result});
  }

  /**
   * Handles a hop without any byte for some time. Silence alone does not end the
   * attempt: the request may be running on the worker behind a relay that is
   * short of processor time.
   */
  #handleSilence(silentMs: number): 'wait' | 'end' {
    const {context, request, onSilent} = this.#options;
    const isFirst = silentMs === SILENT_HOP_MS;
    if (isFirst) {
      this.#silentSinceMs = context.clock.monotonicMs();
      this.#firstAnswerMs = Infinity;
      context.peerHealth.markDown(vmAddressOf(this.worker));
    }
    if (request.route.isIdempotent && this.#isHopDead()) {
      return 'end';
    }
    onSilent(silentMs, isFirst);
    return 'wait';
  }

  /**
   * Whether no response can come any more: the relay of the VM has ended, or it
   * has been responding on new connections for some time, but not on that
   * of the attempt.
   */
  #isHopDead(): boolean {
    const {clock, peerHealth} = this.#options.context;
    const vmAddress = vmAddressOf(this.worker);
    if (peerHealth.hasEnded(vmAddress)) {
      return true;
    }
    const answerMs = peerHealth.lastAnswerMs(vmAddress);
    if (answerMs < this.#silentSinceMs) {
      return false;
    }
    this.#firstAnswerMs = Math.min(this.#firstAnswerMs, answerMs);
    if (answerMs - this.#firstAnswerMs >= DEAD_CONNECTION_MS) {
      return true;
    }
    if (clock.monotonicMs() - this.#firstAnswerMs >= DEAD_CONNECTION_MS) {
      peerHealth.markDown(vmAddress); // probes it once more
    }
    return false;
  }
}
