import {refusalDefinitions, type RefusalReason} from '@carobseam/calls.types';

/** `outcome-unknown` reasons that replace the `not-run` reasons of a key. */
const outcomeUnknownReasons: Partial<Record<RefusalReason, RefusalReason>> = {
  key_too_old: 'outcome_expired',
  key_unsettled: 'owner_restarted',
  no_majority: 'owner_isolated',
  not_owner: 'owner_disputed',
  peer_unreachable: 'owner_unreachable',
};

/**
 * Returns the reason to report for a keyed request that this daemon has not
 * written to any worker or peer. Unless the caller marked the request as the
 * first send of the key, an earlier attempt may have been executed, so a
 * `not-run` reason becomes an `outcome-unknown` one. A request with a malformed
 * key is never executed and keeps its reason.
 */
export function refusalReasonForKey(
  reason: RefusalReason,
  firstSend: boolean,
): RefusalReason {
  const {kind} = refusalDefinitions[reason];
  if (firstSend || kind === 'outcome-unknown' || reason === 'key_invalid') {
    return reason;
  }
  return outcomeUnknownReasons[reason] ?? 'owner_unknown';
}
