import type {Clock} from '@carobseam/core.types';
import {createHmac, timingSafeEqual} from 'node:crypto';

/** A shared key of the fleet. */
export interface DatagramKey {
  readonly id: string;
  readonly secret: string;
}

/** Options of a `DatagramSealer`. */
export interface DatagramAuthenticatorOptions {
  /** The first key signs, all are accepted. */
  keys: readonly DatagramKey[];
  /** Own fleet endpoint, `address:port`; datagrams for others are refused. */
  audience: string;
  clock: Clock;
}

/** Why a datagram was refused. */
export type DatagramRejection =
  'malformed' | 'unauthenticated' | 'expired' | 'replayed';

/** Payload of an authentic datagram, or why it was refused. */
export type VerifiedDatagram =
  {valid: true; payload: Buffer} | {valid: false; reason: DatagramRejection};

/** Bytes that a seal adds to a payload. */
export const DATAGRAM_HEADER_BYTES = 22;

const TIME_BYTES = 6;
const MAC_BYTES = DATAGRAM_HEADER_BYTES - TIME_BYTES;
/** Largest difference between the wall clocks of two VMs, as for links. */
const WINDOW_MS = 30_000;

/** Signs datagrams, and checks their signature, age and first use. */
export class DatagramAuthenticator {
  readonly #audience: string;
  readonly #clock: Clock;
  #keys: readonly DatagramKey[];
  // Two generations of signatures. Each is kept for at least twice the
  // window, so a datagram expires before its signature is forgotten.
  #recent = new Set<number>();
  #older = new Set<number>();
  #rotatedWallMs: number;

  constructor(options: DatagramAuthenticatorOptions) {
    this.#audience = options.audience;
    this.#clock = options.clock;
    this.#keys = options.keys;
    this.#rotatedWallMs = options.clock.wallMs();
  }

  /** Replaces the keys at run time. */
  setKeys(keys: readonly DatagramKey[]): void {
    this.#keys = keys;
  }

  /** @param audience fleet endpoint of the receiver, `address:port`. */
  sign(payload: Uint8Array, audience: string): Buffer {
    const time = Buffer.alloc(TIME_BYTES);
    time.writeUIntBE(Math.round(this.#clock.wallMs()), 0, TIME_BYTES);
    const mac = macOf(this.#keys[0]!, audience, time, payload);
    return Buffer.concat([time, mac, payload]);
  }

  verify(bytes: Buffer): VerifiedDatagram {
    if (bytes.length <= DATAGRAM_HEADER_BYTES) {
      return {valid: false, reason: 'malformed'};
    }
    const time = bytes.subarray(0, TIME_BYTES);
    const mac = bytes.subarray(TIME_BYTES, DATAGRAM_HEADER_BYTES);
    const payload = bytes.subarray(DATAGRAM_HEADER_BYTES);
    const isSigned = this.#keys.some(key =>
      timingSafeEqual(mac, macOf(key, this.#audience, time, payload)),
    );
    if (!isSigned) {
      return {valid: false, reason: 'unauthenticated'};
    }
    const ageMs = this.#clock.wallMs() - time.readUIntBE(0, TIME_BYTES);
    if (Math.abs(ageMs) > WINDOW_MS) {
      return {valid: false, reason: 'expired'};
    }
    if (!this.#isFirstUse(mac.readUIntBE(0, 6))) {
      return {valid: false, reason: 'replayed'};
    }
    return {valid: true, payload};
  }

  #isFirstUse(signature: number): boolean {
    const nowMs = this.#clock.wallMs();
    if (Math.abs(nowMs - this.#rotatedWallMs) > 2 * WINDOW_MS) {
      this.#older = this.#recent;
      this.#recent = new Set();
      this.#rotatedWallMs = nowMs;
    }
    if (this.#recent.has(signature) || this.#older.has(signature)) {
      return false;
    }
    this.#recent.add(signature);
    return true;
  }
}

function macOf(
  key: DatagramKey,
  audience: string,
  time: Uint8Array,
  payload: Uint8Array,
): Buffer {
  return createHmac('sha256', key.secret)
    .update(`datagram\0${audience}\0`)
    .update(time)
    .update(payload)
    .digest()
    .subarray(0, MAC_BYTES);
}
