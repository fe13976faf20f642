import type {Clock, Timer} from '@carobseam/core.types';
import net from 'node:net';

const PROBE_INTERVAL_MS = 300; // a restarted daemon listens within a second
const PROBE_TIMEOUT_MS = 300; // a connection between data centres opens within a few ms

/** Options of `PeerHealth`. */
export interface PeerHealthOptions {
  clock: Clock;
  /** Port of other relays. */
  port: number;
  /** Called for each change; `left` ends the probes of a VM that was down. */
  onChange: (vmAddress: string, change: PeerChange) => void;
}

/** What became known of a VM. */
export type PeerChange = 'down' | 'up' | 'left';

/** VMs that cannot be reached now; each is probed until it accepts again. */
export class PeerHealth {
  readonly #options: PeerHealthOptions;
  readonly #down = new Map<string, Timer | undefined>();
  #isClosed = false;

  constructor(options: PeerHealthOptions) {
    this.#options = options;
  }

  /** VMs that are probed now. */
  get downCount(): number {
    return this.#down.size;
  }

  isDown(vmAddress: string): boolean {
    return this.#down.has(vmAddress);
  }

  /** Keeps requests away from a VM until it accepts a connection. */
  failed(vmAddress: string): void {
    if (this.#isClosed || this.#down.has(vmAddress)) {
      return;
    }
    this.#down.set(vmAddress, undefined);
    this.#options.onChange(vmAddress, 'down');
    this.#probe(vmAddress);
  }

  /** Stops probing VMs that no longer have a worker. */
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
    const end = (isUp: boolean) => {
      timer.cancel();
      socket.removeAllListeners();
      // A reset that follows concerns nobody.
      socket.on('error', () => {});
      socket.destroy();
      this.#probed(vmAddress, isUp);
    };
    const timer = this.#options.clock.setTimer(PROBE_TIMEOUT_MS, () =>
      end(false),
    );
    socket.on('connect', () => end(true));
    socket.on('error', () => end(false));
  }

  #probed(vmAddress: string, isUp: boolean): void {
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
