import type {
  DaemonBlackboard,
  MemberView,
  VmListHint,
} from '@carobseam/core.blackboard';
import {describeError} from '@carobseam/core.errors';
import type {Logger} from '@carobseam/core.logger';
import type {Metrics} from '@carobseam/core.metrics';
import type {VmId} from '@carobseam/core.types';
import type {
  PayloadAuthenticator,
  TreeBroadcaster,
} from '@carobseam/fleet.dissemination';
import type {PeerLink, VmListReply, VmListRequest} from '@carobseam/fleet.link';
import {
  applyVmList,
  decodeVmList,
  encodeVmList,
  type VmListMessage,
} from './vm_list_codec.js';

/** Options of a `VmListBroadcaster`. */
export interface VmListBroadcasterOptions {
  vmId: VmId;
  blackboard: DaemonBlackboard;
  tree: TreeBroadcaster;
  link: PeerLink;
  authenticator: PayloadAuthenticator;
  metrics: Metrics;
  logger: Logger;
}

/**
 * Broadcasts the platform's list of VMs along the tree of the data centre. Each
 * daemon applies and forwards a list only when its index is higher than that of
 * its own list.
 */
export class VmListBroadcaster {
  readonly #options: VmListBroadcasterOptions;
  #full?: {index: number; bytes: Uint8Array};

  constructor(options: VmListBroadcasterOptions) {
    this.#options = options;
  }

  /** Broadcasts the current list, as a difference from a previous one. */
  broadcast(previous: VmListHint): void {
    const {blackboard, authenticator: sealer} = this.#options;
    const list = blackboard.read('vmList');
    this.#send(sealer.signPayload('vm_list', encodeVmList(list, previous)));
  }

  /** Handles a list, or a difference, that a peer sent. */
  async handle(request: VmListRequest): Promise<VmListReply> {
    const {blackboard, authenticator: sealer} = this.#options;
    const payload = sealer.verifyPayload('vm_list', request.bytes);
    const message = payload && this.#decode(payload);
    if (!message) {
      const reason = payload ? 'vm_list_malformed' : 'vm_list_unauthenticated';
      this.#countDrop(reason);
      return {outcome: 'rejected'};
    }
    const current = blackboard.read('vmList');
    if (message.index <= current.index) {
      return {outcome: 'held'};
    }
    const list = applyVmList(message, current);
    if (!list) {
      return {outcome: 'needs_full'};
    }
    blackboard.write('vmList', list);
    this.#send(request.bytes, request.senderId);
    return {outcome: 'applied'};
  }

  #send(bytes: Uint8Array, senderId?: string): void {
    const {tree, logger} = this.#options;
    tree.broadcast(async peer => {
      try {
        await this.#sendTo(peer, bytes);
      } catch (error) {
        this.#countTransfer('failed');
        const fields = {peer: peer.vmId, error: describeError(error)};
        logger.warn('vm_list_send_failed', fields);
        throw error;
      }
    }, senderId);
  }

  async #sendTo(peer: MemberView, bytes: Uint8Array): Promise<void> {
    const {link, vmId: senderId} = this.#options;
    const {outcome} = await link.sendVmList(peer, {senderId, bytes});
    this.#countTransfer(outcome);
    if (outcome === 'needs_full') {
      const full = this.#fullList();
      const reply = await link.sendVmList(peer, {senderId, bytes: full});
      this.#countTransfer(reply.outcome);
    }
  }

  #fullList(): Uint8Array {
    const {blackboard, authenticator: sealer} = this.#options;
    const list = blackboard.read('vmList');
    if (this.#full?.index !== list.index) {
      const bytes = sealer.signPayload('vm_list', encodeVmList(list));
      this.#full = {index: list.index, bytes};
    }
    return this.#full.bytes;
  }

  #decode(payload: Uint8Array): VmListMessage | undefined {
    try {
      return decodeVmList(payload);
    } catch (error) {
      const fields = {error: describeError(error)};
      this.#options.logger.warn('vm_list_malformed', fields);
      return undefined;
    }
  }

  #countDrop(reason: string): void {
    const {metrics} = this.#options;
    metrics.increment('carobseam_messages_dropped_total', {reason});
  }

  #countTransfer(outcome: string): void {
    const {metrics} = this.#options;
    const labels = {kind: 'vm_list', outcome};
    metrics.increment('carobseam_transfers_total', labels);
  }
}
