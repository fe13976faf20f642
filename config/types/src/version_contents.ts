import type {Digest} from '@carobseam/core.types';
import type {Manifest} from './manifest.js';

/** A manifest with the encoded resources that it names. */
export interface VersionContents {
  manifest: Manifest;
  manifestDigest: Digest;
  /** Encoded resources; holds at least those of the active preset. */
  blobs: ReadonlyMap<Digest, Uint8Array>;
}
