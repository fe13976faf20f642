import {createHash} from 'node:crypto';

/** Parts of a request that its fingerprint covers. */
export interface FingerprintedRequest {
  readonly method: string;
  /** Path with the query. */
  readonly path: string;
  readonly body?: Uint8Array;
}

const FINGERPRINT_LENGTH = 32;

/**
 * First 16 bytes of the SHA-256 of method, path with query and body, in hex.
 * The idempotency key is left out, so that a request that is sent again under
 * a new key is recognised.
 */
export function requestFingerprint(request: FingerprintedRequest): string {
  return createHash('sha256')
    .update(`${request.method}\n${request.path}\n`)
    .update(request.body ?? '')
    .digest('hex')
    .slice(0, FINGERPRINT_LENGTH);
}
