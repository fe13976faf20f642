import type {DaemonBlackboard} from '@carobseam/core.blackboard';
import type {Logger} from '@carobseam/core.logger';
import type {Metrics} from '@carobseam/core.metrics';
import type {Digest} from '@carobseam/core.types';
import type {VersionContents} from '@carobseam/config.types';
import {createSnapshot} from '@carobseam/config.snapshot';
import type {VersionProblem} from '@carobseam/config.validation';

/** Why a version does not become the active one. */
export type VersionRefusal =
  'held' | 'older' | 'conflict' | 'below_floor' | 'rejected';

/** What became of an offered version. */
export type ApplyOutcome = 'applied' | VersionRefusal;

/** Way on which a version arrived. */
export type VersionSource = 'platform' | 'push' | 'pull';

/** Options of a `VersionApplier`. */
export interface VersionApplierOptions {
  blackboard: DaemonBlackboard;
  metrics: Metrics;
  logger: Logger;
  /** No version below this one is applied. */
  minimumVersion: number;
}

const MAX_REMEMBERED = 64;

/** Decides whether a version becomes the active one; the only writer of it. */
export class VersionApplier {
  readonly #options: VersionApplierOptions;
  readonly #rejected = new Set<Digest>();
  readonly #conflicts = new Set<Digest>();

  constructor(options: VersionApplierOptions) {
    this.#options = options;
  }

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
   * Why a version is not needed or not allowed, from its number and digest
   * alone; counts the refusal.
   */
  checkVersion(version: number, digest: Digest): VersionRefusal | undefined {
    const refusal = this.#compare(version, digest);
    if (refusal === 'conflict') {
      this.#reportConflict(version, digest);
    } else if (refusal === 'older' || refusal === 'below_floor') {
      const reason = refusal === 'older' ? 'stale' : refusal;
      this.#countRefusal(reason);
    }
    return refusal;
  }

  /** Whether a peer's version should be pulled; reports a conflict. */
  shouldPull(version: number, digest?: Digest): boolean {
    const {blackboard} = this.#options;
    const held = blackboard.read('snapshot');
    if (!held || version > held.version) {
      const isRejected = digest !== undefined && this.#rejected.has(digest);
      return version > 0 && version >= this.#floor() && !isRejected;
    }
    const isSameVersion = version === held.version;
    if (isSameVersion && digest && digest !== held.manifestDigest) {
      this.#reportConflict(version, digest);
    }
    return false;
  }

  #compare(version: number, digest: Digest): VersionRefusal | undefined {
    const held = this.#options.blackboard.read('snapshot');
    if (held && version < held.version) {
      return 'older';
    }
    if (held && version === held.version) {
      return held.manifestDigest === digest ? 'held' : 'conflict';
    }
    if (version < this.#floor()) {
      return 'below_floor';
    }
    return this.#rejected.has(digest) ? 'rejected' : undefined;
  }

  #floor(): number {
    const {blackboard, minimumVersion} = this.#options;
    const {hard, soft, softActive} = blackboard.read('versionFloor');
    return Math.max(hard, softActive ? soft : 0, minimumVersion);
  }

  #reject(
    contents: VersionContents,
    problems: readonly VersionProblem[],
  ): void {
    remember(this.#rejected, contents.manifestDigest);
    for (const problem of problems) {
      this.#countRefusal(problem.reason);
      this.#options.logger.error('version_rejected', {
        version: contents.manifest.version,
        ...problem,
      });
    }
  }

  #reportConflict(version: number, digest: Digest): void {
    if (this.#conflicts.has(digest)) {
      return;
    }
    remember(this.#conflicts, digest);
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

function remember(digests: Set<Digest>, digest: Digest): void {
  digests.add(digest);
  for (const oldest of digests) {
    if (digests.size <= MAX_REMEMBERED) {
      break;
    }
    digests.delete(oldest);
  }
}
