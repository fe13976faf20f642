import type {ExchangeResponse} from '@carobseam/calls.exchange';
import type {QueuedRequest} from '@carobseam/calls.worker_queue';
import type {WorkerId} from '@carobseam/config.mesh';
import type {Readable} from 'node:stream';
import type {HopVerdict} from './hop_message.js';

/** A request for the local worker. */
export interface GateRequest {
  worker: WorkerId;
  /**
   * Rate limit of the worker that the sender knows, in requests per second. It
   * applies until the worker itself has responded to this relay.
   */
  knownRateLimitPerS?: number;
  isIdempotent: boolean;
  scheduling: QueuedRequest;
  method: string;
  url: string;
  /** Headers to send; the gate adds the deadline. */
  headers: string[];
  body: Buffer | Readable;
  requestId?: string;
  /** Whether an attempt at another worker has failed before. */
  isResent?: boolean;
  /** Whether the sender has closed its connection; by default it has not. */
  hasSenderLeft?: () => boolean;
}

/** Outcome of a request at the gate. */
export interface GateResult {
  verdict: HopVerdict;
  reason: string;
  retryAfterMs: number;
  /** Present if the worker answered. */
  response?: ExchangeResponse;
  /** Time from the submission until the request was sent or refused, in ms. */
  waitedMs?: number;
  /** Time since the request was sent to the worker, in ms. */
  ranMs?: number;
  /** Whether the worker has stated in a response that it is about to exit. */
  isWorkerLeaving?: boolean;
}

/** A request that was submitted to the gate. */
export interface GateTicket {
  /** Never rejects. */
  readonly result: Promise<GateResult>;
  /**
   * Cancels the request, for example when its caller disconnects. A queued
   * request is removed, a running one is aborted if it is idempotent; other
   * running requests complete.
   */
  cancel(): void;
}
