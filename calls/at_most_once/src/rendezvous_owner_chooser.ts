import type {DataCentreName, ServiceName, VmId} from '@carobseam/core.types';
import {rendezvousOrder} from '@carobseam/fleet.types';
import type {IdempotencyKey, OwnerChooser, OwnerDecision} from './key_guard.js';
import {refusalReasonForKey} from './refusal_reason_for_key.js';
import type {MemberHistory} from './member_history.js';

export interface RendezvousOwnerChooserOptions {
  dataCentre: DataCentreName;
  memberHistory: MemberHistory;
}

/**
 * Chooses the owner of a key by rendezvous hashing over the VMs of this
 * daemon's data centre whose processes may have executed the key.
 */
export class RendezvousOwnerChooser implements OwnerChooser {
  readonly #options: RendezvousOwnerChooserOptions;

  constructor(options: RendezvousOwnerChooserOptions) {
    this.#options = options;
  }

  /** Refuses keys of other data centres, where their owners are chosen. */
  choose(
    key: IdempotencyKey,
    service: ServiceName,
    firstSend: boolean,
  ): OwnerDecision {
    if (key.dataCentre !== this.#options.dataCentre) {
      return refuse('not_owner', firstSend);
    }
    const vmId = this.findOwner(key, service);
    return vmId ? {kind: 'owner', vmId} : refuse('no_worker', firstSend);
  }

  /** Returns the first possible executor in the rendezvous order of the key. */
  findOwner(key: IdempotencyKey, service: ServiceName): VmId | undefined {
    const {memberHistory} = this.#options;
    const executors = memberHistory.possibleExecutors(
      service,
      key.issuedWallMs,
    );
    return rendezvousOrder(key.text, executors, vmId => vmId)[0];
  }
}

function refuse(
  reason: 'not_owner' | 'no_worker',
  firstSend: boolean,
): OwnerDecision {
  return {kind: 'refuse', reason: refusalReasonForKey(reason, firstSend)};
}
