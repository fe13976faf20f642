import {rendezvousOrder, type MemberRecord} from '@carobseam/fleet.types';
import type {VmId} from '@carobseam/core.types';

/** Neighbours of one daemon in the dissemination tree of its data centre. */
export interface TreeNeighbours<Member> {
  readonly parent?: Member;
  readonly children: readonly Member[];
}

/** Options of `computeTreeNeighbours`. */
export interface TreeOptions<Member> {
  /** Key of the rendezvous order: the name of the data centre. */
  key: string;
  members: Iterable<Member>;
  self: VmId;
  /** Maximum number of children. */
  fanOut: number;
}

/**
 * Computes a daemon's neighbours in the tree, which each daemon derives from
 * its own view of the members. The members are in rendezvous order, and with a
 * fan-out of f the children of position i are at the positions f*i+1 to f*i+f.
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

/** Computes the neighbours of the member at a position in the tree's order. */
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
