import type {StoredResponse} from '@carobseam/calls.at_most_once';
import type {RefusalReason} from '@carobseam/calls.types';
import type {IncomingMessage, OutgoingHttpHeaders} from 'node:http';

/** Why an attempt ended without a response that can be forwarded. */
export interface AttemptFailure {
  readonly reason: RefusalReason;
  readonly retryAfterMs?: number;
  /** Whether a daemon further downstream has already retried the call. */
  readonly retriedBefore?: boolean;
  /**
   * Whether the daemon of the chosen worker reported the failure. For a call
   * with an idempotency key, its reason already covers earlier attempts.
   */
  readonly isStatedByOwner?: boolean;
  /** Whether a retry may go to the same worker. */
  readonly canRetrySameWorker?: boolean;
}

/**
 * Receives the result of an attempt; exactly one method besides `onSilent` is
 * called.
 */
export interface AttemptListener {
  onResponse(response: IncomingMessage): void;
  /** The idempotency key has a stored response. */
  onStoredResponse(response: StoredResponse): void;
  onFailure(failure: AttemptFailure): void;
  /**
   * The worker may be at work on the request but has sent nothing. Returns
   * whether to give the attempt up, because the call can be retried.
   */
  onSilent(): boolean;
}

/** One attempt of a call, on the local worker or through a peer. */
export interface Attempt {
  start(): void;
  /** Whether the attempt continues after its caller has disconnected. */
  readonly continuesWithoutCaller: boolean;
  /** Returns the headers for the caller, from those of the response. */
  responseHeaders(response: IncomingMessage): OutgoingHttpHeaders;
  /**
   * Ends the attempt after the whole response has arrived.
   *
   * @param body the response body; undefined when it was too large to buffer.
   */
  complete(response: IncomingMessage, body: Buffer | undefined): void;
  /** Ends the attempt after its connection broke during the response. */
  handleTruncatedResponse(): void;
  /**
   * Aborts the attempt.
   *
   * @returns the reason to report when the deadline was the cause.
   */
  cancel(): RefusalReason;
}
