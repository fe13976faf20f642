import type {DaemonBlackboard, MemberView} from '@carobseam/core.blackboard';
import type {DataCentreName, VmId} from '@carobseam/core.types';
import {rendezvousOrder, type RendezvousWeights} from '@carobseam/fleet.types';
import {computeNeighboursAt} from './dissemination_tree.js';

/** Options of a `TreeSpreader`. */
export interface TreeBroadcasterOptions {
  vmId: VmId;
  dataCentre: DataCentreName;
  blackboard: DaemonBlackboard;
}

/** Sends to one peer; rejects when the peer cannot be reached. */
export type SendToPeer = (peer: MemberView) => Promise<void>;

interface Spread {
  readonly order: readonly MemberView[];
  readonly visited: Set<string>;
  readonly send: SendToPeer;
}

/**
 * Peers that one message is sent to: the neighbours and theirs. When most of a data centre is down, as at
 * the start of all daemons, each one would otherwise try every other one.
 */
const MAX_PEERS = 42;

const FAN_OUT = 6;

/** Sends along the edges of the data centre's tree, around dead members. */
export class TreeBroadcaster {
  readonly #options: TreeBroadcasterOptions;
  #members?: ReadonlyMap<VmId, MemberView>;
  readonly #weights: RendezvousWeights = new Map();
  #order: readonly MemberView[] = [];

  constructor(options: TreeBroadcasterOptions) {
    this.#options = options;
  }

  /**
   * Sends to each neighbour. Behind a neighbour that cannot be reached or is
   * suspect, its own neighbours are sent to.
   *
   * @param exceptId neighbour from which the message came.
   */
  broadcast(send: SendToPeer, exceptId?: string): void {
    const {vmId} = this.#options;
    const visited = new Set<string>([vmId]);
    if (exceptId !== undefined) {
      visited.add(exceptId);
    }
    this.#sendAround(vmId, {order: this.#currentOrder(), visited, send});
  }

  #sendAround(vmId: VmId, spread: Spread): void {
    const {order, visited} = spread;
    const position = order.findIndex(member => member.vmId === vmId);
    if (position < 0) {
      return;
    }
    const {parent, children} = computeNeighboursAt(order, position, FAN_OUT);
    const neighbours = parent ? [parent, ...children] : children;
    const unvisited = neighbours
      .filter(peer => !visited.has(peer.vmId))
      .slice(0, Math.max(0, MAX_PEERS - visited.size));
    unvisited.forEach(peer => visited.add(peer.vmId));
    unvisited.forEach(peer => void this.#sendTo(peer, spread));
  }

  async #sendTo(peer: MemberView, spread: Spread): Promise<void> {
    const isSuspect = peer.state === 'suspect';
    if (isSuspect) {
      this.#sendAround(peer.vmId, spread);
    }
    try {
      await spread.send(peer);
    } catch {
      if (!isSuspect) {
        this.#sendAround(peer.vmId, spread);
      }
    }
  }

  #currentOrder(): readonly MemberView[] {
    const members = this.#options.blackboard.read('members');
    if (members !== this.#members) {
      const {vmId, dataCentre} = this.#options;
      const reachable = [...members.values()].filter(
        member => member.state !== 'dead' || member.vmId === vmId,
      );
      this.#order = rendezvousOrder(
        dataCentre,
        reachable,
        peer => peer.vmId,
        this.#weights,
      );
      this.#members = members;
    }
    return this.#order;
  }
}
