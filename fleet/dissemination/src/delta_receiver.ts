import {applyDelta, decodeDelta, type Delta} from '@carobseam/config.codec';
import {
  resourceDigestsOfPreset,
  type VersionContents,
} from '@carobseam/config.types';
import type {DaemonBlackboard} from '@carobseam/core.blackboard';
import {describeError} from '@carobseam/core.errors';
import type {Logger} from '@carobseam/core.logger';
import type {Metrics} from '@carobseam/core.metrics';
import type {Digest} from '@carobseam/core.types';
import type {VersionApplier, VersionRefusal} from './version_applier.js';
import type {PayloadAuthenticator} from './version_history.js';

/** Options of a `DeltaReceiver`. */
export interface DeltaReceiverOptions {
  authenticator: PayloadAuthenticator;
  applier: VersionApplier;
  blackboard: DaemonBlackboard;
  metrics: Metrics;
  logger: Logger;
}

/** Result of checking a received delta. */
export type ReceivedDelta =
  | {kind: 'dropped'}
  | {kind: 'refused'; refusal: VersionRefusal}
  /** The delta has another base, or leaves the active preset incomplete. */
  | {kind: 'not_applicable'; version: number; digest: Digest; isFull: boolean}
  | {kind: 'contents'; contents: VersionContents; firstReadWallMs: number};

/** Verifies deltas of peers and rebuilds the versions that they describe. */
export class DeltaReceiver {
  readonly #options: DeltaReceiverOptions;

  constructor(options: DeltaReceiverOptions) {
    this.#options = options;
  }

  /** Verifies the authentication code before anything is decoded. */
  receive(signedDelta: Uint8Array): ReceivedDelta {
    const {authenticator, blackboard, applier} = this.#options;
    const payload = authenticator.verifyPayload('delta', signedDelta);
    if (!payload) {
      return this.#drop('delta_unauthenticated');
    }
    const currentContents = blackboard.read('snapshot')?.contents;
    const delta = this.#decode(payload, currentContents);
    if (!delta) {
      return this.#drop('delta_malformed');
    }
    const refusal = applier.checkVersion(delta.version, delta.manifestDigest);
    if (refusal) {
      return {kind: 'refused', refusal};
    }
    return this.#applyDelta(delta, currentContents);
  }

  #decode(
    payload: Uint8Array,
    currentContents?: VersionContents,
  ): Delta | undefined {
    try {
      return decodeDelta(payload, currentContents);
    } catch (error) {
      this.#options.logger.warn('delta_malformed', {
        error: describeError(error),
      });
      return undefined;
    }
  }

  #applyDelta(delta: Delta, currentContents?: VersionContents): ReceivedDelta {
    const isFull = delta.baseDigest === undefined;
    const {version, manifestDigest: digest, firstReadWallMs} = delta;
    try {
      const contents = applyDelta(delta, currentContents);
      if (isFull || isComplete(contents)) {
        return {kind: 'contents', contents, firstReadWallMs};
      }
    } catch (error) {
      this.#options.logger.debug('delta_not_applicable', {
        error: describeError(error),
      });
    }
    return {kind: 'not_applicable', version, digest, isFull};
  }

  #drop(reason: string): ReceivedDelta {
    const {metrics} = this.#options;
    metrics.increment('carobseam_messages_dropped_total', {reason});
    return {kind: 'dropped'};
  }
}

/**
 * Whether all resources of the active preset are present. A daemon with the
 * profile `small` may lack resources of other presets that a delta relies on.
 */
function isComplete({manifest, blobs}: VersionContents): boolean {
  const requiredDigests = resourceDigestsOfPreset(
    manifest,
    manifest.activePreset,
  );
  return [...requiredDigests.values()].every(digest => blobs.has(digest));
}
