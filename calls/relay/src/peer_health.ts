import type {Clock, Timer} from '@carobseam/core.types';
import {probeRelay, type FailedProbe, type ProbeResult} from './probe_relay.js';

const PROBE_INTERVAL_MS = 300; // a restarted relay listens within a second
const MAX_PROBE_INTERVAL_MS: Record<FailedProbe, number> = {
  refused: 600, // finds a restarted relay soon
  notConnected: 600,
  unanswered: 1200, // spares a relay that is overloaded
};
const CUT_OFF_PROBES = 2; // one may be lost on a link that drops packets
const ISOLATED_VMS = 3; // that failed since the last contact; fewer may have failed by themselves
const ISOLATED_MS = 500; // without contact; a VM that is short of processor time reads some responses within it
const ENDED_PROBES = 3; // a relay that restarts refuses connections for a moment

/** Options of `PeerHealth`. */
export interface PeerHealthOptions {
  clock: Clock;
  /** Inbound port of the other relays. */
  port: number;
  /**
   * Called for each change; `ended` means that the relay of a VM that is down has
   * ended, `left` that the VM has no worker any more.
   */
  onChange: (vmAddress: string, change: PeerChange) => void;
  /** Asks the relay of a VM for a sign of life; by default over HTTP. */
  probe?: (vmAddress: string) => Promise<ProbeResult>;
}

/** Change of the health of a VM. */
export type PeerChange = 'down' | 'ended' | 'up' | 'left';

interface DownVm {
  timer?: Timer;
  intervalMs: number;
  /** Probes in a row whose connection was refused. */
  refusedConnections: number;
  /** Probes in a row whose connection was not opened. */
  unopenedConnections: number;
}

/**
 * Active health checks of the VMs that failed. A VM to which a request failed
 * counts as down and is probed until its relay responds. An accepted connection
 * is not enough, because the kernel also accepts those of a process that has no
 * processor time.
 */
export class PeerHealth {
  readonly #options: PeerHealthOptions;
  readonly #down = new Map<string, DownVm>();
  readonly #lastAnswerMs = new Map<string, number>();
  /** VMs that have failed since another VM was last heard of. */
  readonly #failedSinceContact = new Set<string>();
  #lastContactMs: number;
  #isClosed = false;

  constructor(options: PeerHealthOptions) {
    this.#options = options;
    this.#lastContactMs = options.clock.monotonicMs();
  }

  /** Number of VMs that are down. */
  get downCount(): number {
    return this.#down.size;
  }

  isDown(vmAddress: string): boolean {
    return this.#down.has(vmAddress);
  }

  /**
   * Whether the relay of a VM has ended. A connection that is not opened in time
   * does not show this: the kernel also drops connections to a relay that is
   * short of processor time, and a congested link delays them.
   */
  hasEnded(vmAddress: string): boolean {
    const vm = this.#down.get(vmAddress);
    return vm !== undefined && vm.refusedConnections >= ENDED_PROBES;
  }

  /**
   * Time of the last response to a probe, on the monotonic clock, in ms;
   * -Infinity before the first one.
   */
  lastAnswerMs(vmAddress: string): number {
    return this.#lastAnswerMs.get(vmAddress) ?? -Infinity;
  }

  /**
   * Whether this VM is cut off from the others: several have failed, and none was
   * heard of for some time.
   */
  get isIsolated(): boolean {
    const silentMs = this.#options.clock.monotonicMs() - this.#lastContactMs;
    return (
      this.#failedSinceContact.size >= ISOLATED_VMS && silentMs >= ISOLATED_MS
    );
  }

  /** Whether no connection to a VM can be opened, as repeated probes showed. */
  isCutOff(vmAddress: string): boolean {
    const unopened = this.#down.get(vmAddress)?.unopenedConnections ?? 0;
    return unopened >= CUT_OFF_PROBES || this.isIsolated;
  }

  /** Records that another VM was heard of. */
  recordContact(): void {
    this.#lastContactMs = this.#options.clock.monotonicMs();
    this.#failedSinceContact.clear();
  }

  /** Marks a VM as down and probes it until its relay responds. */
  markDown(vmAddress: string): void {
    if (this.#isClosed) {
      return;
    }
    this.#failedSinceContact.add(vmAddress);
    if (this.#down.has(vmAddress)) {
      return;
    }
    const vm = {
      intervalMs: PROBE_INTERVAL_MS,
      refusedConnections: 0,
      unopenedConnections: 0,
    };
    this.#down.set(vmAddress, vm);
    this.#options.onChange(vmAddress, 'down');
    this.#probe(vmAddress, vm);
  }

  /** Forgets the VMs that are not in the given set. */
  retainOnly(vmAddresses: ReadonlySet<string>): void {
    for (const vmAddress of [...this.#down.keys()]) {
      if (!vmAddresses.has(vmAddress)) {
        this.#stopProbing(vmAddress);
        this.#options.onChange(vmAddress, 'left');
      }
    }
    for (const vmAddress of this.#lastAnswerMs.keys()) {
      if (!vmAddresses.has(vmAddress)) {
        this.#lastAnswerMs.delete(vmAddress);
      }
    }
  }

  close(): void {
    this.#isClosed = true;
    for (const vmAddress of [...this.#down.keys()]) {
      this.#stopProbing(vmAddress);
    }
  }

  #stopProbing(vmAddress: string): void {
    this.#down.get(vmAddress)?.timer?.cancel();
    this.#down.delete(vmAddress);
  }

  #probe(vmAddress: string, vm: DownVm): void {
    const {probe, clock, port} = this.#options;
    const result = probe
      ? probe(vmAddress)
      : probeRelay({clock, host: vmAddress, port});
    void result.then(probed => this.#handleProbeResult(vmAddress, vm, probed));
  }

  #handleProbeResult(vmAddress: string, vm: DownVm, result: ProbeResult): void {
    if (this.#down.get(vmAddress) !== vm) {
      return;
    }
    if (result === 'answered' || result === 'refused') {
      this.recordContact();
    }
    if (result === 'answered') {
      this.#down.delete(vmAddress);
      this.#lastAnswerMs.set(vmAddress, this.#options.clock.monotonicMs());
      this.#options.onChange(vmAddress, 'up');
      return;
    }
    vm.refusedConnections =
      result === 'refused' ? vm.refusedConnections + 1 : 0;
    vm.unopenedConnections =
      result === 'notConnected' ? vm.unopenedConnections + 1 : 0;
    if (vm.refusedConnections === ENDED_PROBES) {
      this.#options.onChange(vmAddress, 'ended');
    }
    vm.timer = this.#options.clock.setTimer(vm.intervalMs, () =>
      this.#probe(vmAddress, vm),
    );
    vm.intervalMs = Math.min(MAX_PROBE_INTERVAL_MS[result], vm.intervalMs * 2);
  }
}
