import {applyDelta, decodeDelta, type Delta} from '@carobseam/config.codec';
import {resourcesOfPreset, type VersionContents} from '@carobseam/config.types';
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

/** What a received delta contains. */
export type ReceivedDelta =
  | {kind: 'dropped'}
  | {kind: 'refused'; refusal: VersionRefusal}
  /** It has another base, or leaves the active preset incomplete. */
  | {kind: 'not_applicable'; version: number; digest: Digest; full: boolean}
  | {kind: 'contents'; contents: VersionContents; firstReadWallMs: number};

/** Checks deltas of peers and restores the versions that they describe. */
export class DeltaReceiver {
  readonly #options: DeltaReceiverOptions;

  constructor(options: DeltaReceiverOptions) {
    this.#options = options;
  }

  /** Checks the authentication code first; nothing else is decoded before. */
  receive(sealed: Uint8Array): ReceivedDelta {
    const {authenticator: sealer, blackboard, applier} = this.#options;
    const payload = sealer.verifyPayload('delta', sealed);
    if (!payload) {
      return this.#drop('delta_unauthenticated');
    }
    const held = blackboard.read('snapshot')?.contents;
    const delta = this.#decode(payload, held);
    if (!delta) {
      return this.#drop('delta_malformed');
    }
    const refusal = applier.checkVersion(delta.version, delta.manifestDigest);
    if (refusal) {
      return {kind: 'refused', refusal};
    }
    return this.#restore(delta, held);
  }

  #decode(payload: Uint8Array, held?: VersionContents): Delta | undefined {
    try {
      return decodeDelta(payload, held);
    } catch (error) {
      this.#options.logger.warn('delta_malformed', {
        error: describeError(error),
      });
      return undefined;
    }
  }

  #restore(delta: Delta, held?: VersionContents): ReceivedDelta {
    const full = delta.baseDigest === undefined;
    const {version, manifestDigest: digest, firstReadWallMs} = delta;
    try {
      const contents = applyDelta(delta, held);
      if (full || isComplete(contents)) {
        return {kind: 'contents', contents, firstReadWallMs};
      }
    } catch (error) {
      this.#options.logger.debug('delta_not_applicable', {
        error: describeError(error),
      });
    }
    return {kind: 'not_applicable', version, digest, full};
  }

  #drop(reason: string): ReceivedDelta {
    const {metrics} = this.#options;
    metrics.increment('carobseam_messages_dropped_total', {reason});
    return {kind: 'dropped'};
  }
}

/**
 * Whether the active preset's resources are held. With `small`, a delta may
 * rely on resources of another preset, which this daemon may lack.
 */
function isComplete({manifest, blobs}: VersionContents): boolean {
  const wanted = resourcesOfPreset(manifest, manifest.activePreset);
  return [...wanted.values()].every(digest => blobs.has(digest));
}
