import type {DaemonBlackboard} from '@carobseam/core.blackboard';
import type {
  Clock,
  DataCentreName,
  RandomSource,
  ServiceName,
  VmId,
} from '@carobseam/core.types';
import {formatIdempotencyKey} from './idempotency_key.js';
import type {IdempotencyKey} from './key_guard.js';
import type {RendezvousOwnerChooser} from './rendezvous_owner_chooser.js';

/** Options of a `KeyIssuer`. */
export interface KeyIssuerOptions {
  vmId: VmId;
  dataCentre: DataCentreName;
  ownerChooser: RendezvousOwnerChooser;
  blackboard: DaemonBlackboard;
  clock: Clock;
  random: RandomSource;
}

/** Tries to find a key whose owner is alive; 16 fail in 1 of 65,536 cases when half of the owners are. */
const MAX_TRIES = 16;
const RANDOM_BOUND = 2 ** 32;

/** Issues keys for calls that arrive without one. */
export class KeyIssuer {
  readonly #options: KeyIssuerOptions;

  constructor(options: KeyIssuerOptions) {
    this.#options = options;
  }

  /** Prefers keys that are owned by a worker that is alive. */
  issue(service: ServiceName): IdempotencyKey {
    let key = this.#create();
    for (let tries = 1; tries < MAX_TRIES; tries++) {
      if (this.#hasLiveOwner(key, service)) {
        break;
      }
      key = this.#create();
    }
    return key;
  }

  #create(): IdempotencyKey {
    const {vmId, dataCentre, clock, random} = this.#options;
    const issuedWallMs = Math.floor(clock.wallMs());
    const digits = [0, 1, 2].map(() =>
      random.nextInt(RANDOM_BOUND).toString(36).padStart(7, '0'),
    );
    // The VM id separates daemons whose random sources have equal seeds.
    const unique = `${digits.join('')}-${vmId.replaceAll('.', '_')}`;
    const text = formatIdempotencyKey(dataCentre, issuedWallMs, unique);
    return {text, dataCentre, issuedWallMs};
  }

  #hasLiveOwner(key: IdempotencyKey, service: ServiceName): boolean {
    const {ownerChooser: owners, blackboard} = this.#options;
    const owner = owners.ownerOf(key, service);
    return (
      owner !== undefined &&
      blackboard.read('members').get(owner)?.state === 'alive'
    );
  }
}
