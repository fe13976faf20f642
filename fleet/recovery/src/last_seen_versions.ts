import type {VmId} from '@carobseam/core.types';

/** VMs that are remembered; more than twice the fleet of the target. */
const MAX_VMS = 5000;

/**
 * The last version that each VM was seen to hold, also across its restarts,
 * and the highest version that was seen anywhere.
 */
export class LastSeenVersions {
  readonly #versions = new Map<VmId, number>();
  #highest = 0;

  get highest(): number {
    return this.#highest;
  }

  record(vmId: VmId, version: number): void {
    if (version <= this.lastSeenVersion(vmId)) {
      return;
    }
    this.#highest = Math.max(this.#highest, version);
    // Inserted again, so that the VMs longest without a change come first.
    this.#versions.delete(vmId);
    this.#versions.set(vmId, version);
    if (this.#versions.size > MAX_VMS) {
      const [oldest] = this.#versions.keys();
      this.#versions.delete(oldest!);
    }
  }

  /** Records a version of which the holder does not matter. */
  recordHighest(version: number): void {
    this.#highest = Math.max(this.#highest, version);
  }

  /** 0 when the VM was never seen to hold a version. */
  lastSeenVersion(vmId: VmId): number {
    return this.#versions.get(vmId) ?? 0;
  }
}
