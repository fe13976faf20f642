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

export interface OwnerKeyGuardOptions {
  vmId: VmId;
  ownerChooser: RendezvousOwnerChooser;
  settlingTracker: SettlingTracker;
  blackboard: DaemonBlackboard;
  clock: Clock;
  metrics: Metrics;
}

/**
 * Decides whether the local worker executes a keyed request. README.md argues
 * why no request is executed twice.
 */
export class OwnerKeyGuard implements KeyGuard {
  readonly #options: OwnerKeyGuardOptions;
  readonly #outcomeStore = new OutcomeStore();

  constructor(options: OwnerKeyGuardOptions) {
    this.#options = options;
  }

  /** Size of the stored responses. */
  get storedBytes(): number {
    return this.#outcomeStore.storedBytes;
  }

  /**
   * Decides synchronously. After an asynchronous step, a pause of the process
   * could have made the checks stale.
   */
  decide(request: KeyedRequest): KeyDecision {
    const {settlingTracker, metrics} = this.#options;
    settlingTracker.detectDisruption();
    this.#outcomeStore.removeExpired(settlingTracker.highestWallMs);
    const record = this.#outcomeStore.find(request.key.text);
    const decision = record
      ? decideKnownKey(record, request)
      : this.#decideNewKey(request);
    metrics.set('carobseam_idempotency_keys', this.#outcomeStore.size);
    return decision;
  }

  #decideNewKey(request: KeyedRequest): KeyDecision {
    const firstSend = request.firstSend ?? false;
    const ownershipRefusal = this.#findOwnershipRefusal(request);
    if (ownershipRefusal) {
      return refuse(refusalReasonForKey(ownershipRefusal, firstSend));
    }
    const identity = {
      text: request.key.text,
      fingerprint: request.fingerprint,
      issuedWallMs: request.key.issuedWallMs,
    };
    const localRefusal = this.#findLocalRefusal();
    if (localRefusal) {
      return this.#refuseAsOwner(localRefusal, identity, firstSend);
    }
    const record = this.#outcomeStore.addExecution(identity);
    return {kind: 'run', ticket: this.#createTicket(record, firstSend)};
  }

  /** Why another process may have executed the key, or may do so later. */
  #findOwnershipRefusal({
    key,
    service,
  }: KeyedRequest): RefusalReason | undefined {
    const {vmId, ownerChooser, settlingTracker, blackboard, clock} =
      this.#options;
    const earliestIssueMs = settlingTracker.earliestIssueWallMs();
    const {issuedWallMs} = key;
    if (
      earliestIssueMs === undefined ||
      blackboard.read('lifecycle') === 'starting'
    ) {
      return 'starting';
    }
    if (issuedWallMs < settlingTracker.highestWallMs - KEY_VALIDITY_MS) {
      return 'key_too_old';
    }
    if (issuedWallMs > clock.wallMs() + MAX_ISSUE_AHEAD_MS) {
      return 'key_in_future';
    }
    if (!blackboard.read('contact').majority) {
      return 'no_majority';
    }
    if (issuedWallMs < earliestIssueMs) {
      return 'key_unsettled';
    }
    const owner = ownerChooser.choose(key, service, false);
    return owner.kind === 'owner' && owner.vmId === vmId
      ? undefined
      : 'not_owner';
  }

  /** Why this process does not execute a key that only it may execute. */
  #findLocalRefusal(): RefusalReason | undefined {
    if (this.#options.blackboard.read('lifecycle') === 'leaving') {
      return 'leaving';
    }
    return this.#outcomeStore.isFull ? 'key_memory_full' : undefined;
  }

  /**
   * Refuses a key that no process has executed. Unless this is the first send,
   * the refusal is stored, so that an earlier attempt that arrives later is not
   * executed either.
   */
  #refuseAsOwner(
    reason: RefusalReason,
    identity: KeyIdentity,
    firstSend: boolean,
  ): KeyDecision {
    const isNeverExecuted =
      firstSend || this.#outcomeStore.addRefusal(identity);
    return refuse(refusalReasonForKey(reason, isNeverExecuted));
  }

  #createTicket(record: KeyRecord, firstSend: boolean): KeyTicket {
    const outcomeStore = this.#outcomeStore;
    const endOnce = (end: () => void) => {
      if (record.state === 'running') {
        end();
      }
    };
    return {
      complete: (response: StoredResponse) =>
        endOnce(() => outcomeStore.complete(record, response)),
      markOutcomeUnknown: () =>
        endOnce(() => outcomeStore.endWithoutResponse(record, 'lost')),
      release: () =>
        endOnce(() =>
          firstSend
            ? outcomeStore.remove(record)
            : outcomeStore.endWithoutResponse(record, 'refused'),
        ),
    };
  }
}

function decideKnownKey(record: KeyRecord, request: KeyedRequest): KeyDecision {
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
