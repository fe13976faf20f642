import {CarobseamError} from '@carobseam/core.errors';
import got from 'got';
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';

/** Options of `publishDirectory`. */
export interface PublishDirectoryOptions {
  /** Directory that `carobseam render` wrote. */
  dir: string;
  /** URL of the platform stand-in. */
  url: string;
  keyPrefix: string;
}

const TIMEOUT_MS = 5000;

/**
 * Uploads a rendered directory to the stand-in: packs first, the manifest
 * last, so that no reader sees a manifest without its packs. For tests only;
 * operators publish with their own publisher.
 *
 * @returns the keys in the order of the upload.
 * @throws CarobseamError `ARGUMENT_INVALID` or `PLATFORM_UNAVAILABLE`.
 */
export async function publishDirectory(
  options: PublishDirectoryOptions,
): Promise<string[]> {
  const {dir, url, keyPrefix} = options;
  const keys = listKeys(dir, keyPrefix);
  const client = got.extend({
    prefixUrl: `${url.replace(/\/$/, '')}/stand-in/kv`,
    retry: {limit: 0},
    timeout: {request: TIMEOUT_MS},
  });
  for (const key of keys) {
    const body = readFileSync(path.join(dir, key));
    await client.put(key, {body}).catch(error => {
      throw new CarobseamError({
        code: 'PLATFORM_UNAVAILABLE',
        message: `cannot publish ${key} to ${url}`,
        hint: 'start carobseam-platform-stand-in and pass its URL with --url',
        cause: error,
      });
    });
  }
  return keys;
}

function listKeys(dir: string, keyPrefix: string): string[] {
  try {
    const packs = readdirSync(path.join(dir, keyPrefix, 'packs')).sort();
    return [
      ...packs.map(name => `${keyPrefix}/packs/${name}`),
      `${keyPrefix}/manifest`,
    ];
  } catch (error) {
    throw new CarobseamError({
      code: 'ARGUMENT_INVALID',
      message: `${dir} holds no rendered version below ${keyPrefix}/`,
      hint: 'pass the directory that carobseam render --out wrote',
      cause: error,
    });
  }
}
