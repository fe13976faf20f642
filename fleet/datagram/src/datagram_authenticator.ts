import type {Clock} from '@carobseam/core.types';
import {createHmac, timingSafeEqual} from 'node:crypto';

/** A secret key that all daemons of the fleet share. */
export interface DatagramKey {
  readonly id: string;
  readonly secret: string;
}

/** Options of a `DatagramAuthenticator`. */
export interface DatagramAuthenticatorOptions {
  /** The first key is used to sign; signatures with any key are accepted. */
  keys: readonly DatagramKey[];
  /**
   * Fleet endpoint of this daemon, `address:port`. Datagrams that were signed
   * for another endpoint are rejected.
   */
  audience: string;
  clock: Clock;
}

/** Why a datagram was rejected. */
export type DatagramRejection =
  'malformed' | 'unauthenticated' | 'expired' | 'replayed';

/** Payload of an authentic datagram, or why it was rejected. */
export type VerifiedDatagram =
  {valid: true; payload: Buffer} | {valid: false; reason: DatagramRejection};

/** Size of the timestamp and the MAC that precede the payload. */
export const DATAGRAM_HEADER_BYTES = 22;

const TIMESTAMP_BYTES = 6;
const MAC_BYTES = DATAGRAM_HEADER_BYTES - TIMESTAMP_BYTES;
/** Maximum accepted difference between two VMs' wall clocks, as for links. */
const MAX_CLOCK_SKEW_MS = 30_000;

/** Signs datagrams and verifies their signature and age. Detects replays. */
export class DatagramAuthenticator {
  readonly #audience: string;
  readonly #clock: Clock;
  #keys: readonly DatagramKey[];
  // Two generations of received signatures, to detect replays. Each signature
  // is kept for at least twice the maximum clock skew, so a datagram expires
  // before its signature is removed.
  #recentSignatures = new Set<number>();
  #olderSignatures = new Set<number>();
  #lastRotationWallMs: number;

  constructor(options: DatagramAuthenticatorOptions) {
    this.#audience = options.audience;
    this.#clock = options.clock;
    this.#keys = options.keys;
    this.#lastRotationWallMs = options.clock.wallMs();
  }

  /** Replaces the keys at run time. */
  setKeys(keys: readonly DatagramKey[]): void {
    this.#keys = keys;
  }

  /**
   * Prefixes a payload with a timestamp and a MAC.
   *
   * @param audience fleet endpoint of the receiver, `address:port`.
   */
  sign(payload: Uint8Array, audience: string): Buffer {
    const timestamp = Buffer.alloc(TIMESTAMP_BYTES);
    timestamp.writeUIntBE(Math.round(this.#clock.wallMs()), 0, TIMESTAMP_BYTES);
    const mac = computeMac(this.#keys[0]!, audience, timestamp, payload);
    return Buffer.concat([timestamp, mac, payload]);
  }

  /** Verifies a received datagram. */
  verify(bytes: Buffer): VerifiedDatagram {
    if (bytes.length <= DATAGRAM_HEADER_BYTES) {
      return {valid: false, reason: 'malformed'};
    }
    const timestamp = bytes.subarray(0, TIMESTAMP_BYTES);
    const mac = bytes.subarray(TIMESTAMP_BYTES, DATAGRAM_HEADER_BYTES);
    const payload = bytes.subarray(DATAGRAM_HEADER_BYTES);
    const isSigned = this.#keys.some(key =>
      timingSafeEqual(mac, computeMac(key, this.#audience, timestamp, payload)),
    );
    if (!isSigned) {
      return {valid: false, reason: 'unauthenticated'};
    }
    const ageMs =
      this.#clock.wallMs() - timestamp.readUIntBE(0, TIMESTAMP_BYTES);
    if (Math.abs(ageMs) > MAX_CLOCK_SKEW_MS) {
      return {valid: false, reason: 'expired'};
    }
    if (!this.#isFirstUse(mac.readUIntBE(0, 6))) {
      return {valid: false, reason: 'replayed'};
    }
    return {valid: true, payload};
  }

  #isFirstUse(signature: number): boolean {
    const nowWallMs = this.#clock.wallMs();
    if (
      Math.abs(nowWallMs - this.#lastRotationWallMs) >
      2 * MAX_CLOCK_SKEW_MS
    ) {
      this.#olderSignatures = this.#recentSignatures;
      this.#recentSignatures = new Set();
      this.#lastRotationWallMs = nowWallMs;
    }
    if (
      this.#recentSignatures.has(signature) ||
      this.#olderSignatures.has(signature)
    ) {
      return false;
    }
    this.#recentSignatures.add(signature);
    return true;
  }
}

function computeMac(
  key: DatagramKey,
  audience: string,
  timestamp: Uint8Array,
  payload: Uint8Array,
): Buffer {
  return createHmac('sha256', key.secret)
    .update(`datagram\0${audience}\0`)
    .update(timestamp)
    .update(payload)
    .digest()
    .subarray(0, MAC_BYTES);
}
