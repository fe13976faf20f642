import type {VmId} from '@carobseam/core.types';

/** Maximum number of VMs that are recorded; more than twice the target fleet size. */
const MAX_VMS = 5000;

/**
 * Records the highest version that this daemon has seen on each VM, also across
 * restarts of that VM, and the highest version that it has seen anywhere.
 */
export class LastSeenVersions {
  readonly #versions = new Map<VmId, number>();
  #highest = 0;

  /** Highest version seen anywhere; 0 for none. */
  get highest(): number {
    return this.#highest;
  }

  /** Records that a VM has a version; lower versions than before are ignored. */
  record(vmId: VmId, version: number): void {
    if (version <= this.lastSeenVersion(vmId)) {
      return;
    }
    this.#highest = Math.max(this.#highest, version);
    // Inserted again, so that the VMs with the oldest changes come first and are dropped first.
    this.#versions.delete(vmId);
    this.#versions.set(vmId, version);
    if (this.#versions.size > MAX_VMS) {
      const [oldest] = this.#versions.keys();
      this.#versions.delete(oldest!);
    }
  }

  /** Records a version that exists on some VM. */
  recordHighest(version: number): void {
    this.#highest = Math.max(this.#highest, version);
  }

  /** Highest version seen on a VM; 0 for none. */
  lastSeenVersion(vmId: VmId): number {
    return this.#versions.get(vmId) ?? 0;
  }
}
