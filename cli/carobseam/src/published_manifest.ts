import {CarobseamError} from '@carobseam/core.errors';
import {decodeManifest} from '@carobseam/config.codec';
import {manifestKey, type Manifest} from '@carobseam/config.types';
import {existsSync, readFileSync, statSync} from 'node:fs';
import path from 'node:path';

/** The manifest of a rendered directory; undefined when it holds none. */
export function readManifestOf(
  dir: string,
  keyPrefix: string,
): Manifest | undefined {
  const file = path.join(dir, manifestKey(keyPrefix));
  return existsSync(file) ? decodeFile(file) : undefined;
}

/**
 * The manifest of a rendered directory or of a manifest file.
 *
 * @throws CarobseamError `ARGUMENT_INVALID` or `CODEC_INVALID`.
 */
export function requireManifest(source: string, keyPrefix: string): Manifest {
  const stats = statSync(source, {throwIfNoEntry: false});
  const manifest = stats?.isDirectory()
    ? readManifestOf(source, keyPrefix)
    : stats && decodeFile(source);
  if (manifest) {
    return manifest;
  }
  throw new CarobseamError({
    code: 'ARGUMENT_INVALID',
    message: `no manifest in ${source}`,
    hint: `pass a manifest file or a directory with ${manifestKey(keyPrefix)}`,
  });
}

function decodeFile(file: string): Manifest {
  try {
    return decodeManifest(readFileSync(file));
  } catch (error) {
    throw new CarobseamError({
      code: 'CODEC_INVALID',
      message: `${file} is no manifest`,
      hint: 'use the file that carobseam render wrote or the platform holds',
      cause: error,
    });
  }
}
