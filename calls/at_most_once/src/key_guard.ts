import type {RefusalReason} from '@carobseam/calls.types';
import type {DataCentreName, ServiceName, VmId} from '@carobseam/core.types';

/**
 * A parsed idempotency key. A request that has one (a keyed request) is sent to
 * a worker at most once.
 */
export interface IdempotencyKey {
  readonly text: string;
  readonly dataCentre: DataCentreName;
  /** Wall time at which a caller or a daemon issued the key, ms. */
  readonly issuedWallMs: number;
}

/** A response that is stored for resends of its key. */
export interface StoredResponse {
  readonly statusCode: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** Absent when the body was too large to keep. */
  readonly body?: Uint8Array;
}

/**
 * Permission to execute a keyed request once. The holder calls exactly one of
 * the methods.
 */
export interface KeyTicket {
  /** Stores the worker's response for resends of the key. */
  complete(response: StoredResponse): void;
  /** Records that the request was written and its outcome is unknown. */
  markOutcomeUnknown(): void;
  /**
   * Records that nothing was written to the worker, so that the response may
   * be `not-run`. If this was the first send of the key, a later attempt may be
   * executed. Otherwise the key is refused from now on, because an earlier
   * attempt may still arrive.
   */
  release(): void;
}

/** What the owner of a key does with a request. */
export type KeyDecision =
  | {kind: 'run'; ticket: KeyTicket}
  | {kind: 'replay'; response: StoredResponse}
  /** The request is being executed; undefined when its outcome is unknown. */
  | {kind: 'wait'; outcome: Promise<StoredResponse | undefined>}
  | {kind: 'refuse'; reason: RefusalReason};

/** A keyed request that has arrived at the owner of its key. */
export interface KeyedRequest {
  readonly key: IdempotencyKey;
  readonly service: ServiceName;
  /** Digest of method, path, query and body; binds the key to one request. */
  readonly fingerprint: string;
  /**
   * Whether the caller sends the key for the first time and the entry daemon
   * has written it only once. If not, an earlier attempt may still arrive.
   */
  readonly firstSend?: boolean;
}

/** Prevents the worker from executing a keyed request twice. */
export interface KeyGuard {
  decide(request: KeyedRequest): KeyDecision;
}

/** The owner of a key, or why there is none. */
export type OwnerDecision =
  {kind: 'owner'; vmId: VmId} | {kind: 'refuse'; reason: RefusalReason};

/** Chooses the owner of a key, the only worker that may execute its request. */
export interface OwnerChooser {
  /** @param firstSend whether the caller sends the key for the first time. */
  choose(
    key: IdempotencyKey,
    service: ServiceName,
    firstSend: boolean,
  ): OwnerDecision;
}
