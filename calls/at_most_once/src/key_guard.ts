import type {RefusalReason} from '@carobseam/calls.types';
import type {DataCentreName, ServiceName, VmId} from '@carobseam/core.types';

/** A parsed idempotency key. */
export interface IdempotencyKey {
  readonly text: string;
  readonly dataCentre: DataCentreName;
  /** Wall time at which the caller or the daemon issued the key, ms. */
  readonly issuedWallMs: number;
}

/** A response that is remembered for repeats of its key. */
export interface StoredResponse {
  readonly statusCode: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** Absent when the body was too large to keep. */
  readonly body?: Uint8Array;
}

/** Permission to run a keyed request once; ended by exactly one call. */
export interface KeyTicket {
  /** The worker responded; repeats get the response. */
  complete(response: StoredResponse): void;
  /** The request was written and its outcome is not known. */
  markOutcomeUnknown(): void;
  /**
   * Nothing was written to the worker, so that `not-run` may be answered. The
   * key may run later if it was sent for the first time, else it is refused
   * from now on, because an earlier attempt may still be on its way.
   */
  release(): void;
}

/** What to do with a keyed request beside the worker. */
export type KeyDecision =
  | {kind: 'run'; ticket: KeyTicket}
  | {kind: 'replay'; response: StoredResponse}
  /** Resolves with the response, or undefined when the outcome is lost. */
  | {kind: 'wait'; outcome: Promise<StoredResponse | undefined>}
  | {kind: 'refuse'; reason: RefusalReason};

/** A keyed request beside the worker. */
export interface KeyedRequest {
  readonly key: IdempotencyKey;
  readonly service: ServiceName;
  /** Digest of method, path, query and body; a key is bound to one. */
  readonly fingerprint: string;
  /**
   * Whether the caller sends the key for the first time and the entry daemon
   * has written it once; without it, an earlier attempt may be on its way.
   */
  readonly firstSend?: boolean;
}

/** Guards the worker against running a key twice. */
export interface KeyGuard {
  decide(request: KeyedRequest): KeyDecision;
}

/** Where a keyed request goes. */
export type OwnerDecision =
  {kind: 'owner'; vmId: VmId} | {kind: 'refuse'; reason: RefusalReason};

/** Finds the worker that may run a key. */
export interface OwnerChooser {
  /** @param firstSend whether the caller sends the key for the first time. */
  choose(
    key: IdempotencyKey,
    service: ServiceName,
    firstSend: boolean,
  ): OwnerDecision;
}
