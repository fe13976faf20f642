import {refusalDefinitions, type RefusalReason} from '@carobseam/calls.types';

/** What to answer instead of `not-run` for a key that may have been sent. */
const unknownReasons: Partial<Record<RefusalReason, RefusalReason>> = {
  key_too_old: 'outcome_expired',
  key_unsettled: 'owner_restarted',
  no_majority: 'owner_isolated',
  not_owner: 'owner_disputed',
  peer_unreachable: 'owner_unreachable',
};

/**
 * The reason to state for a keyed request that this daemon did not write
 * anywhere. Without the caller's word that it sends the key for the first
 * time, an earlier attempt may have run, so that `not-run` reasons become
 * `outcome-unknown` ones. A malformed key runs nowhere.
 */
export function refusalReasonForKey(
  reason: RefusalReason,
  firstSend: boolean,
): RefusalReason {
  const {kind} = refusalDefinitions[reason];
  if (firstSend || kind === 'outcome-unknown' || reason === 'key_invalid') {
    return reason;
  }
  return unknownReasons[reason] ?? 'owner_unknown';
}
