import type {VmId} from '@carobseam/core.types';
import {MAX_UPDATES, type MemberRecord} from '@carobseam/fleet.types';

interface QueuedUpdate {
  record: MemberRecord;
  transmissions: number;
}

/**
 * Each update is sent log2(members) times plus this number. When it was sent
 * 3 * log2(members) times, the updates from a simultaneous start of 100 daemons
 * stayed in the datagrams for about two minutes.
 */
const EXTRA_TRANSMISSIONS = 2;
/**
 * Space for updates in one datagram: 1,400 bytes less the authentication
 * header, the sender's record and a probe target, all with names of maximum
 * length.
 */
const MAX_UPDATE_BYTES = 850;
/** Encoded size of a record without its strings, rounded up. */
const RECORD_OVERHEAD_BYTES = 50;

/**
 * Member updates to be piggybacked on messages to peers (gossip). The updates
 * with the fewest transmissions are sent first.
 */
export class UpdateQueue {
  readonly #queue = new Map<VmId, QueuedUpdate>();

  /** Adds an update; replaces an earlier one about the same member. */
  add(record: MemberRecord): void {
    this.#queue.set(record.vmId, {record, transmissions: 0});
  }

  remove(vmId: VmId): void {
    this.#queue.delete(vmId);
  }

  /**
   * Returns the updates for one message and counts their transmission.
   *
   * @param required updates that this message must carry; they come first.
   */
  takeForMessage(
    memberCount: number,
    required: readonly MemberRecord[],
  ): MemberRecord[] {
    const maxTransmissions =
      Math.ceil(Math.log2(memberCount)) + EXTRA_TRANSMISSIONS;
    const candidates = [...this.#queue.values()].sort(
      (a, b) => a.transmissions - b.transmissions,
    );
    const taken = [...required];
    let totalBytes = taken.reduce(
      (sum, record) => sum + estimateSizeBytes(record),
      0,
    );
    for (const update of candidates) {
      totalBytes += estimateSizeBytes(update.record);
      if (taken.length >= MAX_UPDATES || totalBytes > MAX_UPDATE_BYTES) {
        break;
      }
      taken.push(update.record);
      update.transmissions++;
      if (update.transmissions >= maxTransmissions) {
        this.#queue.delete(update.record.vmId);
      }
    }
    return taken;
  }
}

function estimateSizeBytes({vmId, service, address}: MemberRecord): number {
  return vmId.length + service.length + address.length + RECORD_OVERHEAD_BYTES;
}
