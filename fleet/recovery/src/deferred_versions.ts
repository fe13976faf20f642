import type {DaemonBlackboard} from '@carobseam/core.blackboard';

/** The part of a version that `DeferredVersions` uses. */
interface OfferedVersion {
  readonly manifest: {readonly version: number};
}

/** Options of `DeferredVersions`. */
export interface DeferredVersionsOptions<Contents extends OfferedVersion> {
  blackboard: DaemonBlackboard;
  /** Tries to apply a version and returns the outcome. */
  offer: (contents: Contents) => string;
}

/**
 * Defers a version that was read from the platform while it is below the version
 * floor (see `StartupController`) or the floor is not known yet, and tries it
 * again when the floor changes. This is needed because each version that is
 * published is offered only once.
 */
export class DeferredVersions<Contents extends OfferedVersion> {
  readonly #options: DeferredVersionsOptions<Contents>;
  #deferred?: Contents;

  constructor(options: DeferredVersionsOptions<Contents>) {
    this.#options = options;
    options.blackboard.observe('versionFloor', () => this.#retry());
  }

  /** Applies a version now, or defers it. */
  offer(contents: Contents): void {
    const {blackboard, offer} = this.#options;
    const {settled} = blackboard.read('versionFloor');
    const isDeferred = !settled || offer(contents) === 'below_floor';
    this.#deferred = isDeferred ? contents : undefined;
  }

  #retry(): void {
    if (this.#deferred && !this.#options.blackboard.read('snapshot')) {
      this.offer(this.#deferred);
    }
  }
}
