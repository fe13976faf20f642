import type {DataCentreName, VmId} from '@carobseam/core.types';
import {
  rendezvousOrder,
  type MemberRecord,
  type RendezvousWeights,
} from '@carobseam/fleet.types';

/** Options of `chooseReaders`. */
export interface ChooseReadersOptions {
  dataCentre: DataCentreName;
  members: Iterable<Pick<MemberRecord, 'vmId' | 'state'>>;
  readerCount: number;
  /** Cache of rendezvous weights, kept between calls for the same data centre. */
  weights?: RendezvousWeights;
}

/**
 * Chooses the daemons of a data centre that read the platform. Each daemon
 * computes them from its own view of the members; when views differ, the only
 * effect is additional calls.
 */
export function chooseReaders(options: ChooseReadersOptions): VmId[] {
  const candidates = [...options.members].filter(isAlive);
  return rendezvousOrder(
    options.dataCentre,
    candidates,
    ({vmId}) => vmId,
    options.weights,
  )
    .slice(0, options.readerCount)
    .map(member => member.vmId);
}

function isAlive(member: Pick<MemberRecord, 'state'>): boolean {
  return member.state === 'alive' || member.state === 'suspect';
}
