import type {DaemonBlackboard} from '@carobseam/core.blackboard';
import type {Logger} from '@carobseam/core.logger';
import type {Metrics} from '@carobseam/core.metrics';
import type {Digest} from '@carobseam/core.types';
import type {VersionContents} from '@carobseam/config.types';
import {createSnapshot} from '@carobseam/config.snapshot';
import type {VersionProblem} from '@carobseam/config.validation';

/**
 * Why a version is not applied: it is the current one (`held`) or an older one
 * (`older`), it has the number of the current one but other contents
 * (`conflict`), it is below the lowest version allowed (`below_floor`), or it
 * was found invalid (`rejected`).
 */
export type VersionRefusal =
  'held' | 'older' | 'conflict' | 'below_floor' | 'rejected';

/** Result of applying a version. */
export type ApplyOutcome = 'applied' | VersionRefusal;

/** How a version was received. */
export type VersionSource = 'platform' | 'push' | 'pull';

/** Options of a `VersionApplier`. */
export interface VersionApplierOptions {
  blackboard: DaemonBlackboard;
  metrics: Metrics;
  logger: Logger;
  /** Versions below this one are never applied. */
  minimumVersion: number;
}

const MAX_RECORDED_DIGESTS = 64;

/**
 * Decides whether a version becomes the active one. It is the only writer of
 * the blackboard slot `snapshot`, which holds the active version.
 */
export class VersionApplier {
  readonly #options: VersionApplierOptions;
  readonly #rejectedDigests = new Set<Digest>();
  readonly #conflictingDigests = new Set<Digest>();

  constructor(options: VersionApplierOptions) {
    this.#options = options;
  }

  /** Applies a version unless it is refused or invalid. */
  apply(contents: VersionContents, source: VersionSource): ApplyOutcome {
    const {manifest, manifestDigest} = contents;
    const refusal = this.checkVersion(manifest.version, manifestDigest);
    if (refusal) {
      return refusal;
    }
    const {blackboard, metrics, logger} = this.#options;
    const result = createSnapshot(contents, blackboard.read('snapshot'));
    if (!result.valid) {
      this.#reject(contents, result.problems);
      return 'rejected';
    }
    const {snapshot} = result;
    metrics.set('carobseam_config_version', snapshot.version);
    metrics.increment('carobseam_config_versions_applied_total', {source});
    logger.info('version_applied', {
      version: snapshot.version,
      preset: snapshot.activePreset,
      source,
    });
    blackboard.write('snapshot', snapshot);
    return 'applied';
  }

  /**
   * Returns why a version is not needed or not allowed, if so, judged by its
   * number and digest. Counts the refusal in the metrics.
   */
  checkVersion(version: number, digest: Digest): VersionRefusal | undefined {
    const refusal = this.#findRefusal(version, digest);
    if (refusal === 'conflict') {
      this.#reportConflict(version, digest);
    } else if (refusal === 'older' || refusal === 'below_floor') {
      const reason = refusal === 'older' ? 'stale' : refusal;
      this.#countRefusal(reason);
    }
    return refusal;
  }

  /** Whether to pull a version that a peer holds. Reports a conflict. */
  shouldPull(version: number, digest?: Digest): boolean {
    const {blackboard} = this.#options;
    const current = blackboard.read('snapshot');
    if (!current || version > current.version) {
      const isRejected =
        digest !== undefined && this.#rejectedDigests.has(digest);
      return version > 0 && version >= this.#getVersionFloor() && !isRejected;
    }
    const isSameVersion = version === current.version;
    if (isSameVersion && digest && digest !== current.manifestDigest) {
      this.#reportConflict(version, digest);
    }
    return false;
  }

  #findRefusal(version: number, digest: Digest): VersionRefusal | undefined {
    const current = this.#options.blackboard.read('snapshot');
    if (current && version < current.version) {
      return 'older';
    }
    if (current && version === current.version) {
      return current.manifestDigest === digest ? 'held' : 'conflict';
    }
    if (version < this.#getVersionFloor()) {
      return 'below_floor';
    }
    return this.#rejectedDigests.has(digest) ? 'rejected' : undefined;
  }

  #getVersionFloor(): number {
    const {blackboard, minimumVersion} = this.#options;
    const {hard, soft, softActive} = blackboard.read('versionFloor');
    return Math.max(hard, softActive ? soft : 0, minimumVersion);
  }

  #reject(
    contents: VersionContents,
    problems: readonly VersionProblem[],
  ): void {
    addBounded(this.#rejectedDigests, contents.manifestDigest);
    for (const problem of problems) {
      this.#countRefusal(problem.reason);
      this.#options.logger.error('version_rejected', {
        version: contents.manifest.version,
        ...problem,
      });
    }
  }

  #reportConflict(version: number, digest: Digest): void {
    if (this.#conflictingDigests.has(digest)) {
      return;
    }
    addBounded(this.#conflictingDigests, digest);
    this.#countRefusal('conflict');
    this.#options.logger.error('version_conflict', {
      version,
      digest,
      heldDigest: this.#options.blackboard.read('snapshot')?.manifestDigest,
      hint: 'publish the declarations again under a new version',
    });
  }

  #countRefusal(reason: string): void {
    const {metrics} = this.#options;
    metrics.increment('carobseam_config_versions_refused_total', {reason});
  }
}

function addBounded(digests: Set<Digest>, digest: Digest): void {
  digests.add(digest);
  for (const oldest of digests) {
    if (digests.size <= MAX_RECORDED_DIGESTS) {
      break;
    }
    digests.delete(oldest);
  }
}
