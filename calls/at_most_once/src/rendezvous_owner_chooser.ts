import type {DataCentreName, ServiceName, VmId} from '@carobseam/core.types';
import {rendezvousOrder} from '@carobseam/fleet.types';
import type {IdempotencyKey, OwnerChooser, OwnerDecision} from './key_guard.js';
import {refusalReasonForKey} from './refusal_reason_for_key.js';
import type {MemberHistory} from './member_history.js';

/** Options of a `RendezvousOwnerChooser`. */
export interface RendezvousOwnerChooserOptions {
  dataCentre: DataCentreName;
  history: MemberHistory;
}

/** Finds owners in this daemon's view of its data centre. */
export class RendezvousOwnerChooser implements OwnerChooser {
  readonly #options: RendezvousOwnerChooserOptions;

  constructor(options: RendezvousOwnerChooserOptions) {
    this.#options = options;
  }

  /** Keys of other data centres are refused; the caller routes them there. */
  choose(
    key: IdempotencyKey,
    service: ServiceName,
    firstSend: boolean,
  ): OwnerDecision {
    if (key.dataCentre !== this.#options.dataCentre) {
      return refuse('not_owner', firstSend);
    }
    const vmId = this.ownerOf(key, service);
    return vmId ? {kind: 'owner', vmId} : refuse('no_worker', firstSend);
  }

  /** The first possible runner in the rendezvous order of the key. */
  ownerOf(key: IdempotencyKey, service: ServiceName): VmId | undefined {
    const {history} = this.#options;
    const runners = history.possibleExecutors(service, key.issuedWallMs);
    return rendezvousOrder(key.text, runners, vmId => vmId)[0];
  }
}

function refuse(
  reason: 'not_owner' | 'no_worker',
  firstSend: boolean,
): OwnerDecision {
  return {kind: 'refuse', reason: refusalReasonForKey(reason, firstSend)};
}
