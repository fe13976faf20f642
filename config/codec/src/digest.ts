import type {Digest} from '@carobseam/core.types';
import {createHash} from 'node:crypto';

const DIGEST_BYTES = 16;

/** First 16 bytes of the SHA-256 digest, in hex. */
export function digestOf(bytes: Uint8Array): Digest {
  const hash = createHash('sha256').update(bytes).digest();
  return hash.subarray(0, DIGEST_BYTES).toString('hex') as Digest;
}
