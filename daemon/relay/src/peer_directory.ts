import {
  vmAddressOf,
  type MeshState,
  type MeshWorker,
} from '@carobseam/config.mesh';
import {splitAddress} from '@carobseam/core.net';
import type {DataCentreName} from '@carobseam/core.types';
import type {RelayAddresses} from '@carobseam/fleet.crash_mark_exchange';
import type {RelaySettings} from '@carobseam/platform.adapter';

const MIN_DATA_CENTRE_PEERS = 6; // if the store refuses a third of them, one of two polled peers has newer state 9 times in 10

/** Addresses of the other relays, one of which runs next to each worker. */
export class PeerDirectory {
  readonly #settings: RelaySettings;
  readonly #state: MeshState;

  constructor(settings: RelaySettings, state: MeshState) {
    this.#settings = settings;
    this.#state = state;
  }

  /**
   * Control addresses of the peers to poll while the store is unavailable: those
   * of this data centre if there are enough of them, otherwise all peers.
   */
  addressesToPoll(): string[] {
    const dataCentrePeers = this.dataCentreAddresses();
    return dataCentrePeers.length >= MIN_DATA_CENTRE_PEERS
      ? dataCentrePeers
      : this.#controlAddresses(
          this.#state.workers(),
          this.#settings.seedAddresses,
        );
  }

  /** Control addresses of the other relays of this data centre. */
  dataCentreAddresses(): string[] {
    return this.#controlAddresses(this.#workersByPlace(true));
  }

  /** Control addresses of the relays of the other data centres. */
  remoteAddresses(): string[] {
    return this.#controlAddresses(this.#workersByPlace(false));
  }

  /** Control addresses of the other relays, by place. */
  addressesByDataCentre(): RelayAddresses {
    const remote = new Map<DataCentreName, MeshWorker[]>();
    for (const worker of this.#workersByPlace(false)) {
      const workers = remote.get(worker.dataCentre) ?? [];
      workers.push(worker);
      remote.set(worker.dataCentre, workers);
    }
    return {
      dataCentre: this.dataCentreAddresses(),
      others: [...remote.values()].map(workers =>
        this.#controlAddresses(workers),
      ),
    };
  }

  /** Addresses of all VMs with a worker. */
  vmAddresses(): Set<string> {
    return new Set([...this.#state.workers()].map(vmAddressOf));
  }

  #workersByPlace(isLocal: boolean): MeshWorker[] {
    const {dataCentre} = this.#settings;
    return [...this.#state.workers()].filter(
      worker => (worker.dataCentre === dataCentre) === isLocal,
    );
  }

  /** Control addresses of the workers' relays, without that of this relay. */
  #controlAddresses(
    workers: Iterable<MeshWorker>,
    extraAddresses: readonly string[] = [],
  ): string[] {
    const {controlAddress} = this.#settings;
    const {port} = splitAddress(controlAddress);
    const addresses = new Set(extraAddresses);
    for (const worker of workers) {
      addresses.add(`${vmAddressOf(worker)}:${port}`);
    }
    addresses.delete(controlAddress);
    return [...addresses];
  }
}
