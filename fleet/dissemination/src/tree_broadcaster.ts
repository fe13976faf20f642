import type {DaemonBlackboard, MemberView} from '@carobseam/core.blackboard';
import type {DataCentreName, VmId} from '@carobseam/core.types';
import {rendezvousOrder, type RendezvousWeights} from '@carobseam/fleet.types';
import {computeNeighboursAt} from './dissemination_tree.js';

/** Options of a `TreeBroadcaster`. */
export interface TreeBroadcasterOptions {
  vmId: VmId;
  dataCentre: DataCentreName;
  blackboard: DaemonBlackboard;
}

/** Sends to one peer; rejects when the peer cannot be reached. */
export type SendToPeer = (peer: MemberView) => Promise<void>;

/** State of one broadcast. */
interface Broadcast {
  readonly order: readonly MemberView[];
  readonly visited: Set<string>;
  readonly send: SendToPeer;
}

/**
 * Maximum number of peers to which a daemon sends one message: the neighbours
 * and their neighbours. Without this limit, each daemon would try every other
 * one when most of a data centre is down, for example while all daemons start.
 */
const MAX_RECIPIENTS = 42;

const FAN_OUT = 6;

/** Sends messages along the data centre's tree and bypasses dead members. */
export class TreeBroadcaster {
  readonly #options: TreeBroadcasterOptions;
  #members?: ReadonlyMap<VmId, MemberView>;
  readonly #weights: RendezvousWeights = new Map();
  #order: readonly MemberView[] = [];

  constructor(options: TreeBroadcasterOptions) {
    this.#options = options;
  }

  /**
   * Sends a message to each neighbour. If a neighbour is unreachable or
   * suspect, the message is also sent to the neighbours of that neighbour.
   *
   * @param exceptId neighbour from which the message was received.
   */
  broadcast(send: SendToPeer, exceptId?: string): void {
    const {vmId} = this.#options;
    const visited = new Set<string>([vmId]);
    if (exceptId !== undefined) {
      visited.add(exceptId);
    }
    this.#sendToNeighbours(vmId, {order: this.#getTreeOrder(), visited, send});
  }

  #sendToNeighbours(vmId: VmId, broadcast: Broadcast): void {
    const {order, visited} = broadcast;
    const position = order.findIndex(member => member.vmId === vmId);
    if (position < 0) {
      return;
    }
    const {parent, children} = computeNeighboursAt(order, position, FAN_OUT);
    const neighbours = parent ? [parent, ...children] : children;
    const unvisited = neighbours
      .filter(peer => !visited.has(peer.vmId))
      .slice(0, Math.max(0, MAX_RECIPIENTS - visited.size));
    unvisited.forEach(peer => visited.add(peer.vmId));
    unvisited.forEach(peer => void this.#sendTo(peer, broadcast));
  }

  async #sendTo(peer: MemberView, broadcast: Broadcast): Promise<void> {
    const isSuspect = peer.state === 'suspect';
    if (isSuspect) {
      this.#sendToNeighbours(peer.vmId, broadcast);
    }
    try {
      await broadcast.send(peer);
    } catch {
      if (!isSuspect) {
        this.#sendToNeighbours(peer.vmId, broadcast);
      }
    }
  }

  #getTreeOrder(): readonly MemberView[] {
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
