import type {Clock, VmId} from '@carobseam/core.types';
import type {FleetEndpoint} from '@carobseam/fleet.types';

/** A probe that was sent and has no response yet. */
export interface PendingProbe {
  readonly seq: number;
  readonly vmId: VmId;
  readonly startedMs: number;
  /** Daemon that requested this probe, with the sequence number it used. */
  readonly requester?: {readonly endpoint: FleetEndpoint; readonly seq: number};
  /** Whether other daemons were asked to probe this member, too. */
  isIndirect: boolean;
}

const DIRECT_TIMEOUT_MS = 300;
/** Timeout including indirect probes; shorter than the probe period. */
const PROBE_TIMEOUT_MS = 900;

/** Keeps probes without a response and determines which have timed out. */
export class ProbeTracker {
  readonly #clock: Clock;
  readonly #pending = new Map<number, PendingProbe>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  add(probe: Pick<PendingProbe, 'seq' | 'vmId' | 'requester'>): void {
    const startedMs = this.#clock.monotonicMs();
    this.#pending.set(probe.seq, {...probe, startedMs, isIndirect: false});
  }

  /** Removes and returns the probe that a response belongs to, if any. */
  complete(seq: number, vmId?: VmId): PendingProbe | undefined {
    const probe = this.#pending.get(seq);
    if (!probe || (vmId && probe.vmId !== vmId)) {
      return undefined;
    }
    this.#pending.delete(seq);
    return probe;
  }

  /**
   * Returns this daemon's probes whose direct timeout has passed, so that the
   * caller starts indirect probes. Each probe is returned once.
   *
   * @param timeoutMultiplier see `LocalHealth`.
   */
  takeDirectTimeouts(timeoutMultiplier: number): PendingProbe[] {
    const timedOut = this.#olderThan(
      DIRECT_TIMEOUT_MS * timeoutMultiplier,
    ).filter(probe => !probe.isIndirect && !probe.requester);
    timedOut.forEach(probe => (probe.isIndirect = true));
    return timedOut;
  }

  /**
   * Removes probes whose total timeout has passed, and returns those that this
   * daemon made on its own behalf.
   *
   * @param timeoutMultiplier see `LocalHealth`.
   */
  takeFailures(timeoutMultiplier: number): PendingProbe[] {
    const failed = this.#olderThan(PROBE_TIMEOUT_MS * timeoutMultiplier);
    failed.forEach(probe => this.#pending.delete(probe.seq));
    return failed.filter(probe => !probe.requester);
  }

  /** Discards all probes, because their timeouts are invalid after a pause. */
  clear(): void {
    this.#pending.clear();
  }

  #olderThan(ageMs: number): PendingProbe[] {
    const nowMs = this.#clock.monotonicMs();
    return [...this.#pending.values()].filter(
      probe => nowMs - probe.startedMs >= ageMs,
    );
  }
}
