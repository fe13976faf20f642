import {rendezvousOrder, type MemberRecord} from '@carobseam/fleet.types';
import type {VmId} from '@carobseam/core.types';

/** Neighbours of one daemon in the tree of its data centre. */
export interface TreeNeighbours<Member> {
  readonly parent?: Member;
  readonly children: readonly Member[];
}

/** Options of `treeNeighbours`. */
export interface TreeOptions<Member> {
  /** Key of the order; the data centre's name. */
  key: string;
  members: Iterable<Member>;
  self: VmId;
  /** Largest number of children. */
  fanOut: number;
}

/**
 * Neighbours in the tree that each daemon computes from its own view: the
 * members in rendezvous order, where position i has the children at
 * positions f*i+1 to f*i+f.
 */
export function computeTreeNeighbours<
  Member extends Pick<MemberRecord, 'vmId'>,
>(options: TreeOptions<Member>): TreeNeighbours<Member> {
  const order = rendezvousOrder(
    options.key,
    options.members,
    member => member.vmId,
  );
  const position = order.findIndex(member => member.vmId === options.self);
  if (position < 0) {
    return {children: []};
  }
  return computeNeighboursAt(order, position, options.fanOut);
}

/** Neighbours of the member at a position of the tree's order. */
export function computeNeighboursAt<Member>(
  order: readonly Member[],
  position: number,
  fanOut: number,
): TreeNeighbours<Member> {
  const firstChild = fanOut * position + 1;
  const parentPosition = Math.floor((position - 1) / fanOut);
  return {
    parent: position > 0 ? order[parentPosition] : undefined,
    children: order.slice(firstChild, firstChild + fanOut),
  };
}
