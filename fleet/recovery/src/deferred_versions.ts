import type {DaemonBlackboard} from '@carobseam/core.blackboard';

/** What a `DeferredOffers` needs to know of a version. */
interface Offered {
  readonly manifest: {readonly version: number};
}

/** Options of `DeferredOffers`. */
export interface DeferredVersionsOptions<Contents extends Offered> {
  blackboard: DaemonBlackboard;
  /** Applies a version and tells the outcome. */
  offer: (contents: Contents) => string;
}

/**
 * Holds a version that was read from the platform back while it is below the
 * floor or the floor is not known, and offers it again when the floor changes.
 * The platform reader offers each version only once.
 */
export class DeferredVersions<Contents extends Offered> {
  readonly #options: DeferredVersionsOptions<Contents>;
  #held?: Contents;

  constructor(options: DeferredVersionsOptions<Contents>) {
    this.#options = options;
    options.blackboard.observe('versionFloor', () => this.#retry());
  }

  offer(contents: Contents): void {
    const {blackboard, offer} = this.#options;
    const {settled} = blackboard.read('versionFloor');
    const isRefused = !settled || offer(contents) === 'below_floor';
    this.#held = isRefused ? contents : undefined;
  }

  #retry(): void {
    if (this.#held && !this.#options.blackboard.read('snapshot')) {
      this.offer(this.#held);
    }
  }
}
