import type {RefusalReason} from '@carobseam/calls.types';
import type {DaemonBlackboard} from '@carobseam/core.blackboard';
import type {Metrics} from '@carobseam/core.metrics';
import type {Clock, VmId} from '@carobseam/core.types';
import type {
  KeyDecision,
  KeyedRequest,
  KeyGuard,
  KeyTicket,
  StoredResponse,
} from './key_guard.js';
import {refusalReasonForKey} from './refusal_reason_for_key.js';
import {MAX_ISSUE_AHEAD_MS, KEY_VALIDITY_MS} from './limits.js';
import {
  OutcomeStore,
  type KeyIdentity,
  type KeyRecord,
} from './outcome_store.js';
import type {RendezvousOwnerChooser} from './rendezvous_owner_chooser.js';
import type {SettlingTracker} from './settling_tracker.js';

/** Options of an `OwnerKeyGuard`. */
export interface OwnerKeyGuardOptions {
  vmId: VmId;
  ownerChooser: RendezvousOwnerChooser;
  settlingTracker: SettlingTracker;
  blackboard: DaemonBlackboard;
  clock: Clock;
  metrics: Metrics;
}

/** Guards the worker beside this daemon; see README.md for the argument. */
export class OwnerKeyGuard implements KeyGuard {
  readonly #options: OwnerKeyGuardOptions;
  readonly #memory = new OutcomeStore();

  constructor(options: OwnerKeyGuardOptions) {
    this.#options = options;
  }

  /** Bytes of the remembered responses. */
  get storedBytes(): number {
    return this.#memory.storedBytes;
  }

  /** Decides without waiting, so that no pause can go unnoticed in between. */
  decide(request: KeyedRequest): KeyDecision {
    const {settlingTracker: settle, metrics} = this.#options;
    settle.detectDisruption();
    this.#memory.removeExpired(settle.highestWallMs);
    const record = this.#memory.find(request.key.text);
    const decision = record
      ? decideRepeat(record, request)
      : this.#decideNew(request);
    metrics.set('carobseam_idempotency_keys', this.#memory.size);
    return decision;
  }

  #decideNew(request: KeyedRequest): KeyDecision {
    const firstSend = request.firstSend ?? false;
    const obstacle = this.#obstacle(request);
    if (obstacle) {
      return refuse(refusalReasonForKey(obstacle, firstSend));
    }
    const identity = {
      text: request.key.text,
      fingerprint: request.fingerprint,
      issuedWallMs: request.key.issuedWallMs,
    };
    const hindrance = this.#hindrance();
    if (hindrance) {
      return this.#refuseOwned(hindrance, identity, firstSend);
    }
    const record = this.#memory.addExecution(identity);
    return {kind: 'run', ticket: this.#createTicket(record, firstSend)};
  }

  /** Why another process may have run the key, or may run it later. */
  #obstacle({key, service}: KeyedRequest): RefusalReason | undefined {
    const {
      vmId,
      ownerChooser: owners,
      settlingTracker: settle,
      blackboard,
      clock,
    } = this.#options;
    const settledFromMs = settle.earliestIssueWallMs();
    const {issuedWallMs} = key;
    if (
      settledFromMs === undefined ||
      blackboard.read('lifecycle') === 'starting'
    ) {
      return 'starting';
    }
    if (issuedWallMs < settle.highestWallMs - KEY_VALIDITY_MS) {
      return 'key_too_old';
    }
    if (issuedWallMs > clock.wallMs() + MAX_ISSUE_AHEAD_MS) {
      return 'key_in_future';
    }
    if (!blackboard.read('contact').majority) {
      return 'no_majority';
    }
    if (issuedWallMs < settledFromMs) {
      return 'key_unsettled';
    }
    const owner = owners.choose(key, service, false);
    return owner.kind === 'owner' && owner.vmId === vmId
      ? undefined
      : 'not_owner';
  }

  /** Why this process does not run a key that only it may run. */
  #hindrance(): RefusalReason | undefined {
    if (this.#options.blackboard.read('lifecycle') === 'leaving') {
      return 'leaving';
    }
    return this.#memory.isFull ? 'key_memory_full' : undefined;
  }

  /**
   * Refuses a key that no process has run. An earlier attempt that is still
   * on its way must not run it later, unless the caller knows of no earlier
   * attempt.
   */
  #refuseOwned(
    reason: RefusalReason,
    identity: KeyIdentity,
    firstSend: boolean,
  ): KeyDecision {
    const neverRuns = firstSend || this.#memory.addRefusal(identity);
    return refuse(refusalReasonForKey(reason, neverRuns));
  }

  #createTicket(record: KeyRecord, firstSend: boolean): KeyTicket {
    const memory = this.#memory;
    const endOnce = (end: () => void) => {
      if (record.state === 'running') {
        end();
      }
    };
    return {
      complete: (response: StoredResponse) =>
        endOnce(() => memory.complete(record, response)),
      markOutcomeUnknown: () =>
        endOnce(() => memory.endWithoutResponse(record, 'lost')),
      release: () =>
        endOnce(() =>
          firstSend
            ? memory.remove(record)
            : memory.endWithoutResponse(record, 'refused'),
        ),
    };
  }
}

function decideRepeat(record: KeyRecord, request: KeyedRequest): KeyDecision {
  if (record.fingerprint !== request.fingerprint) {
    return refuse('key_conflict');
  }
  const decisions: Record<KeyRecord['state'], () => KeyDecision> = {
    running: () => ({kind: 'wait', outcome: record.outcome}),
    done: () => ({kind: 'replay', response: record.response!}),
    lost: () => refuse('worker_failed'),
    refused: () => refuse('key_refused'),
  };
  return decisions[record.state]();
}

function refuse(reason: RefusalReason): KeyDecision {
  return {kind: 'refuse', reason};
}
