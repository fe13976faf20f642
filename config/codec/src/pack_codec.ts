import {CarobseamError} from '@carobseam/core.errors';
import type {Digest, ResourceId} from '@carobseam/core.types';
import {createHash} from 'node:crypto';
import {brotliCompressSync, brotliDecompressSync, constants} from 'node:zlib';
import {decodeCanonical, encodeCanonical} from './canonical.js';
import {digestOf} from './digest.js';

/** Largest decompressed pack; bounds the memory that a bad pack can take. */
const MAX_UNPACKED_BYTES = 16_000_000;
const BROTLI_QUALITY = 4;

/** Position of the pack that holds a resource. */
export function packIndexOf(id: ResourceId, packCount: number): number {
  const hash = createHash('sha256').update(id).digest();
  return hash.readUInt32BE(0) % packCount;
}

/** Compresses a group of encoded resources. */
export function encodePack(blobs: readonly Uint8Array[]): Uint8Array {
  return brotliCompressSync(encodeCanonical(blobs), {
    params: {[constants.BROTLI_PARAM_QUALITY]: BROTLI_QUALITY},
  });
}

/**
 * Decompresses a pack into its resources by digest.
 *
 * @throws CarobseamError `CODEC_INVALID`.
 */
export function decodePack(bytes: Uint8Array): Map<Digest, Uint8Array> {
  const blobs = decodeBlobs(bytes);
  return new Map(blobs.map(blob => [digestOf(blob), blob]));
}

function decodeBlobs(bytes: Uint8Array): Uint8Array[] {
  try {
    const unpacked = brotliDecompressSync(bytes, {
      maxOutputLength: MAX_UNPACKED_BYTES,
    });
    const value = decodeCanonical(unpacked);
    if (Array.isArray(value) && value.every(isBytes)) {
      // Copies, because the decoder returns views of one large buffer.
      return value.map(blob => new Uint8Array(blob));
    }
  } catch {
    // Reported below, together with values of another shape.
  }
  throw new CarobseamError({
    code: 'CODEC_INVALID',
    message: 'pack cannot be decoded',
    hint: 'publish the packs that carobseam render wrote',
  });
}

function isBytes(value: unknown): value is Uint8Array {
  return value instanceof Uint8Array;
}
