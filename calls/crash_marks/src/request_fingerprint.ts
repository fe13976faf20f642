import {createHash} from 'node:crypto';

/** Parts of a request that its fingerprint covers. */
export interface FingerprintedRequest {
  readonly method: string;
  /** Path with the query. */
  readonly path: string;
  readonly body?: Uint8Array;
  /** Service that sent the request; absent where it makes no difference. */
  readonly caller?: string;
}

const FINGERPRINT_LENGTH = 32;

/**
 * Returns the first 16 bytes of the SHA-256 of method, path with query, caller
 * and body, in hex. The idempotency key is not included, so that a request that is
 * sent again with a new key has the same fingerprint.
 */
export function requestFingerprint(request: FingerprintedRequest): string {
  return createHash('sha256')
    .update(`${request.method}\n${request.path}\n`)
    .update(request.caller === undefined ? '' : `${request.caller}\n`)
    .update(request.body ?? '')
    .digest('hex')
    .slice(0, FINGERPRINT_LENGTH);
}
