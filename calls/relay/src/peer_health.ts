import type {Clock, Timer} from '@carobseam/core.types';
import net from 'node:net';

const PROBE_INTERVAL_MS = 300; // a restarted relay listens within a second
const PROBE_TIMEOUT_MS = 300; // connecting to another data centre takes a few ms

/** Options of `PeerHealth`. */
export interface PeerHealthOptions {
  clock: Clock;
  /** Inbound port of the other relays. */
  port: number;
  /**
   * Called for each change; `left` means that a VM that was down has no worker
   * any more.
   */
  onChange: (vmAddress: string, change: PeerChange) => void;
}

/** Change of the health of a VM. */
export type PeerChange = 'down' | 'up' | 'left';

/**
 * Active health checks of the VMs that failed. A VM to which a request failed
 * counts as down and is probed until it accepts a connection.
 */
export class PeerHealth {
  readonly #options: PeerHealthOptions;
  readonly #down = new Map<string, Timer | undefined>();
  #isClosed = false;

  constructor(options: PeerHealthOptions) {
    this.#options = options;
  }

  /** Number of VMs that are down. */
  get downCount(): number {
    return this.#down.size;
  }

  isDown(vmAddress: string): boolean {
    return this.#down.has(vmAddress);
  }

  /** Marks a VM as down and probes it until it accepts a connection. */
  markDown(vmAddress: string): void {
    if (this.#isClosed || this.#down.has(vmAddress)) {
      return;
    }
    this.#down.set(vmAddress, undefined);
    this.#options.onChange(vmAddress, 'down');
    this.#probe(vmAddress);
  }

  /** Stops probing the VMs that are not in the given set. */
  retainOnly(vmAddresses: ReadonlySet<string>): void {
    for (const vmAddress of [...this.#down.keys()]) {
      if (!vmAddresses.has(vmAddress)) {
        this.#stopProbing(vmAddress);
        this.#options.onChange(vmAddress, 'left');
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
    this.#down.get(vmAddress)?.cancel();
    this.#down.delete(vmAddress);
  }

  #probe(vmAddress: string): void {
    const socket = net.connect({host: vmAddress, port: this.#options.port});
    const finish = (isUp: boolean) => {
      timer.cancel();
      socket.removeAllListeners();
      // A later reset must not raise an unhandled error event.
      socket.on('error', () => {});
      socket.destroy();
      this.#handleProbeResult(vmAddress, isUp);
    };
    const timer = this.#options.clock.setTimer(PROBE_TIMEOUT_MS, () =>
      finish(false),
    );
    socket.on('connect', () => finish(true));
    socket.on('error', () => finish(false));
  }

  #handleProbeResult(vmAddress: string, isUp: boolean): void {
    if (!this.#down.has(vmAddress)) {
      return;
    }
    if (isUp) {
      this.#down.delete(vmAddress);
      this.#options.onChange(vmAddress, 'up');
      return;
    }
    this.#down.set(
      vmAddress,
      this.#options.clock.setTimer(PROBE_INTERVAL_MS, () =>
        this.#probe(vmAddress),
      ),
    );
  }
}
