import type {Digest} from '@carobseam/core.types';
import {manifestKey, packKey} from '@carobseam/config.types';
import {encodeManifest} from '@carobseam/config.codec';
import type {RenderedVersion} from './render_version.js';

/** One value to publish. */
export interface FileToPublish {
  key: string;
  bytes: Uint8Array;
}

/** The values of a version in the order of publishing; the manifest is last. */
export function listFilesToPublish(
  rendered: RenderedVersion,
  keyPrefix: string,
): FileToPublish[] {
  const packs = [...rendered.packs].map(([digest, bytes]) => ({
    key: packKey(keyPrefix, digest as Digest),
    bytes,
  }));
  const manifest = {
    key: manifestKey(keyPrefix),
    bytes: encodeManifest(rendered.contents.manifest),
  };
  return [...packs, manifest];
}
