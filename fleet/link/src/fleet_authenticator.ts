import type {Clock} from '@carobseam/core.types';
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';

/** A shared key of the fleet. */
export interface SharedKey {
  readonly id: string;
  readonly secret: string;
}

/** Options of a `FleetAuthenticator`. */
export interface FleetAuthenticatorOptions {
  /** The first key signs, all are accepted. */
  keys: readonly SharedKey[];
  clock: Clock;
}

/** Largest difference between the wall clocks of two VMs. */
const MAX_CLOCK_DIFFERENCE_MS = 30_000;

/** 128 bits; half of SHA-256 keeps messages small. */
const SEAL_MAC_BYTES = 16;

/** Kinds of payload that are authenticated from end to end. */
export type PayloadPurpose = 'delta' | 'vm_list';

/** Signs and checks connection requests and payloads between daemons. */
export class FleetAuthenticator {
  readonly #clock: Clock;
  readonly #seenNonces = new Map<string, number>();
  #keys: readonly SharedKey[];

  constructor(options: FleetAuthenticatorOptions) {
    this.#keys = options.keys;
    this.#clock = options.clock;
  }

  /** Identifier of the key that signs. */
  get signingKeyId(): string {
    return this.#keys[0]!.id;
  }

  /**
   * Puts an authentication code before a payload that is forwarded as it is.
   *
   * @param purpose kind of payload; one kind is not accepted as another.
   */
  signPayload(purpose: PayloadPurpose, payload: Uint8Array): Uint8Array {
    const key = this.#keys[0]!;
    const id = Buffer.from(key.id);
    const mac = sealMacOf(key, purpose, payload);
    return Buffer.concat([Buffer.of(id.byteLength), id, mac, payload]);
  }

  /** The payload of a sealed message; undefined when it is not authentic. */
  verifyPayload(
    purpose: PayloadPurpose,
    sealed: Uint8Array,
  ): Uint8Array | undefined {
    const macStart = 1 + (sealed[0] ?? 0);
    const payloadStart = macStart + SEAL_MAC_BYTES;
    if (sealed.byteLength < payloadStart) {
      return undefined;
    }
    const keyId = Buffer.from(sealed.subarray(1, macStart)).toString();
    const key = this.#keys.find(candidate => candidate.id === keyId);
    const payload = sealed.subarray(payloadStart);
    const mac = sealed.subarray(macStart, payloadStart);
    const isAuthentic =
      key && timingSafeEqual(mac, sealMacOf(key, purpose, payload));
    return isAuthentic ? payload : undefined;
  }

  /** Replaces the keys; open connections stay. */
  setKeys(keys: readonly SharedKey[]): void {
    this.#keys = keys;
  }

  /** Credentials for one connection to an audience, `address:port`. */
  createCredentials(audience: string): string {
    const key = this.#keys[0]!;
    const issuedWallMs = String(Math.round(this.#clock.wallMs()));
    const nonce = randomBytes(12).toString('hex');
    const mac = macOf(key, [audience, issuedWallMs, nonce]);
    return [key.id, issuedWallMs, nonce, mac].join(' ');
  }

  /** Whether the credentials are valid, recent and used for the first time. */
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
    if (!(ageMs <= MAX_CLOCK_DIFFERENCE_MS)) {
      return false;
    }
    const expected = macOf(key, [audience, issuedWallMs, nonce]);
    return isEqualText(mac, expected) && this.#isFirstUse(nonce);
  }

  #isFirstUse(nonce: string): boolean {
    const nowMs = this.#clock.wallMs();
    for (const [seen, seenMs] of this.#seenNonces) {
      if (nowMs - seenMs <= 2 * MAX_CLOCK_DIFFERENCE_MS) {
        break;
      }
      this.#seenNonces.delete(seen);
    }
    if (this.#seenNonces.has(nonce)) {
      return false;
    }
    this.#seenNonces.set(nonce, nowMs);
    return true;
  }
}

function macOf(key: SharedKey, parts: readonly string[]): string {
  return createHmac('sha256', key.secret)
    .update(parts.join('\0'))
    .digest('hex');
}

function sealMacOf(
  key: SharedKey,
  purpose: PayloadPurpose,
  payload: Uint8Array,
): Buffer {
  return createHmac('sha256', key.secret)
    .update(`${purpose}\0`)
    .update(payload)
    .digest()
    .subarray(0, SEAL_MAC_BYTES);
}

function isEqualText(a: string, b: string): boolean {
  const left = Buffer.from(a);
  const right = Buffer.from(b);
  return left.length === right.length && timingSafeEqual(left, right);
}
