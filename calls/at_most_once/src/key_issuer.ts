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

export interface KeyIssuerOptions {
  vmId: VmId;
  dataCentre: DataCentreName;
  ownerChooser: RendezvousOwnerChooser;
  blackboard: DaemonBlackboard;
  clock: Clock;
  random: RandomSource;
}

/**
 * Attempts to find a key whose owner is alive. When half of the owners are
 * alive, all 16 fail in 1 of 65,536 cases.
 */
const MAX_TRIES = 16;
const RANDOM_BOUND = 2 ** 32;

/** Issues idempotency keys for non-idempotent calls that have none. */
export class KeyIssuer {
  readonly #options: KeyIssuerOptions;

  constructor(options: KeyIssuerOptions) {
    this.#options = options;
  }

  /** Issues a key, preferably one whose owner is alive. */
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
    // The VM id keeps keys unique when daemons have equal random seeds.
    const unique = `${digits.join('')}-${vmId.replaceAll('.', '_')}`;
    const text = formatIdempotencyKey(dataCentre, issuedWallMs, unique);
    return {text, dataCentre, issuedWallMs};
  }

  #hasLiveOwner(key: IdempotencyKey, service: ServiceName): boolean {
    const {ownerChooser, blackboard} = this.#options;
    const owner = ownerChooser.findOwner(key, service);
    return (
      owner !== undefined &&
      blackboard.read('members').get(owner)?.state === 'alive'
    );
  }
}
