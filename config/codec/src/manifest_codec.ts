import {CarobseamError} from '@carobseam/core.errors';
import type {Digest} from '@carobseam/core.types';
import {manifestSchema, type Manifest} from '@carobseam/config.types';
import {decodeCanonical, encodeCanonical} from './canonical.js';
import {digestOf} from './digest.js';

/** Encodes a manifest canonically. */
export function encodeManifest(manifest: Manifest): Uint8Array {
  return encodeCanonical(manifest);
}

/** Digest of the canonical encoding of a manifest. */
export function manifestDigestOf(manifest: Manifest): Digest {
  return digestOf(encodeManifest(manifest));
}

/**
 * Decodes a manifest and checks its schema.
 *
 * @throws CarobseamError `CODEC_INVALID`.
 */
export function decodeManifest(bytes: Uint8Array): Manifest {
  const result = manifestSchema.safeParse(decodeOrUndefined(bytes));
  if (result.success) {
    return result.data;
  }
  const [issue] = result.error.issues;
  throw new CarobseamError({
    code: 'CODEC_INVALID',
    message: `manifest: ${issue?.path.join('.')}: ${issue?.message}`,
    hint: 'publish a manifest that carobseam render wrote',
  });
}

function decodeOrUndefined(bytes: Uint8Array): unknown {
  try {
    return decodeCanonical(bytes);
  } catch {
    return undefined;
  }
}
