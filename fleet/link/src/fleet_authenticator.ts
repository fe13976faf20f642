import type {Clock} from '@carobseam/core.types';
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';

/** A secret key that all daemons of the fleet share. */
export interface SharedKey {
  readonly id: string;
  readonly secret: string;
}

/** Options of a `FleetAuthenticator`. */
export interface FleetAuthenticatorOptions {
  /** The first key is used to sign; signatures with any key are accepted. */
  keys: readonly SharedKey[];
  clock: Clock;
}

/** Maximum accepted difference between the wall clocks of two VMs. */
const MAX_CLOCK_SKEW_MS = 30_000;

/** The HMAC-SHA256 is truncated to 128 bits to keep messages small. */
const PAYLOAD_MAC_BYTES = 16;

/**
 * Kinds of payload that are signed by their origin and forwarded unchanged by
 * other daemons.
 */
export type PayloadPurpose = 'delta' | 'vm_list';

/**
 * Signs and verifies the credentials of connections and forwarded payloads
 * between daemons with keys that all daemons share.
 */
export class FleetAuthenticator {
  readonly #clock: Clock;
  readonly #seenNonces = new Map<string, number>();
  #keys: readonly SharedKey[];

  constructor(options: FleetAuthenticatorOptions) {
    this.#keys = options.keys;
    this.#clock = options.clock;
  }

  /** Identifier of the key that is used to sign. */
  get signingKeyId(): string {
    return this.#keys[0]!.id;
  }

  /**
   * Prefixes a payload with the key id and an authentication code.
   *
   * @param purpose kind of payload; a signature for one kind is not valid for
   *     another.
   */
  signPayload(purpose: PayloadPurpose, payload: Uint8Array): Uint8Array {
    const key = this.#keys[0]!;
    const id = Buffer.from(key.id);
    const mac = computePayloadMac(key, purpose, payload);
    return Buffer.concat([Buffer.of(id.byteLength), id, mac, payload]);
  }

  /** Returns the payload of a signed message, or undefined if not authentic. */
  verifyPayload(
    purpose: PayloadPurpose,
    signedPayload: Uint8Array,
  ): Uint8Array | undefined {
    const macStart = 1 + (signedPayload[0] ?? 0);
    const payloadStart = macStart + PAYLOAD_MAC_BYTES;
    if (signedPayload.byteLength < payloadStart) {
      return undefined;
    }
    const keyId = Buffer.from(signedPayload.subarray(1, macStart)).toString();
    const key = this.#keys.find(candidate => candidate.id === keyId);
    const payload = signedPayload.subarray(payloadStart);
    const mac = signedPayload.subarray(macStart, payloadStart);
    const isAuthentic =
      key && timingSafeEqual(mac, computePayloadMac(key, purpose, payload));
    return isAuthentic ? payload : undefined;
  }

  /** Replaces the keys. Open connections are kept. */
  setKeys(keys: readonly SharedKey[]): void {
    this.#keys = keys;
  }

  /**
   * Creates single-use credentials for one connection.
   *
   * @param audience fleet endpoint of the receiver, `address:port`.
   */
  createCredentials(audience: string): string {
    const key = this.#keys[0]!;
    const issuedWallMs = String(Math.round(this.#clock.wallMs()));
    const nonce = randomBytes(12).toString('hex');
    const mac = computeCredentialsMac(key, [audience, issuedWallMs, nonce]);
    return [key.id, issuedWallMs, nonce, mac].join(' ');
  }

  /** Whether the credentials are authentic, recent and not used before. */
  verifyCredentials(
    credentials: string | undefined,
    audience: string,
  ): boolean {
    const parts = (credentials ?? '').split(' ');
    const [keyId, issuedWallMs, nonce, mac] = parts;
    const key = this.#keys.find(candidate => candidate.id === keyId);
    if (!key || !issuedWallMs || !nonce || !mac) {
      return false;
    }
    const ageMs = Math.abs(this.#clock.wallMs() - Number(issuedWallMs));
    if (!(ageMs <= MAX_CLOCK_SKEW_MS)) {
      return false;
    }
    const expected = computeCredentialsMac(key, [
      audience,
      issuedWallMs,
      nonce,
    ]);
    return isEqualInConstantTime(mac, expected) && this.#isFirstUse(nonce);
  }

  #isFirstUse(nonce: string): boolean {
    const nowWallMs = this.#clock.wallMs();
    for (const [seenNonce, seenWallMs] of this.#seenNonces) {
      if (nowWallMs - seenWallMs <= 2 * MAX_CLOCK_SKEW_MS) {
        break;
      }
      this.#seenNonces.delete(seenNonce);
    }
    if (this.#seenNonces.has(nonce)) {
      return false;
    }
    this.#seenNonces.set(nonce, nowWallMs);
    return true;
  }
}

function computeCredentialsMac(
  key: SharedKey,
  parts: readonly string[],
): string {
  return createHmac('sha256', key.secret)
    .update(parts.join('\0'))
    .digest('hex');
}

function computePayloadMac(
  key: SharedKey,
  purpose: PayloadPurpose,
  payload: Uint8Array,
): Buffer {
  return createHmac('sha256', key.secret)
    .update(`${purpose}\0`)
    .update(payload)
    .digest()
    .subarray(0, PAYLOAD_MAC_BYTES);
}

function isEqualInConstantTime(a: string, b: string): boolean {
  const bufferA = Buffer.from(a);
  const bufferB = Buffer.from(b);
  return bufferA.length === bufferB.length && timingSafeEqual(bufferA, bufferB);
}
