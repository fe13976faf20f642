import type {StoredResponse} from './key_guard.js';
import {
  KEY_VALIDITY_MS,
  MAX_EXECUTED_KEYS,
  MAX_REFUSED_KEYS,
  MAX_RESPONSE_BYTES,
  MAX_TOTAL_RESPONSE_BYTES,
} from './limits.js';

/** State of a key that this process accepted or refused for good. */
export type KeyState = 'running' | 'done' | 'lost' | 'refused';

/** What this process knows of a key. */
export interface KeyRecord {
  readonly text: string;
  readonly fingerprint: string;
  readonly issuedWallMs: number;
  readonly outcome: Promise<StoredResponse | undefined>;
  readonly resolveOutcome: (response: StoredResponse | undefined) => void;
  state: KeyState;
  response?: StoredResponse;
  sizeBytes: number;
}

/** Identity of a key in the memory. */
export type KeyIdentity = Pick<
  KeyRecord,
  'text' | 'fingerprint' | 'issuedWallMs'
>;

/** A pass over 20,000 keys took 0.1 ms (p50) to 1.3 ms (p99). */
const EXPIRY_INTERVAL_MS = 1000;

/** Remembers keys until their validity ends; bounded in keys and bytes. */
export class OutcomeStore {
  readonly #runs = new Map<string, KeyRecord>();
  readonly #refused = new Map<string, KeyRecord>();
  /** Records with a stored response, oldest first. */
  readonly #stored = new Set<KeyRecord>();
  #storedBytes = 0;
  #expiredAtWallMs = 0;

  /** Number of remembered keys. */
  get size(): number {
    return this.#runs.size + this.#refused.size;
  }

  /** Bytes of the stored headers and bodies. */
  get storedBytes(): number {
    return this.#storedBytes;
  }

  /** Whether no further run can be remembered. */
  get isFull(): boolean {
    return this.#runs.size >= MAX_EXECUTED_KEYS;
  }

  find(text: string): KeyRecord | undefined {
    return this.#runs.get(text) ?? this.#refused.get(text);
  }

  /** Remembers a run that starts. */
  addExecution(identity: KeyIdentity): KeyRecord {
    const record = createRecord(identity, 'running');
    this.#runs.set(record.text, record);
    return record;
  }

  /** Remembers that a key never runs here; false when that is impossible. */
  addRefusal(identity: KeyIdentity): boolean {
    if (this.#refused.size >= MAX_REFUSED_KEYS) {
      return false;
    }
    this.#refused.set(identity.text, createRecord(identity, 'refused'));
    return true;
  }

  /** Stores a response, without its body when it is too large. */
  complete(record: KeyRecord, response: StoredResponse): void {
    record.state = 'done';
    record.response = limitResponse(response);
    record.sizeBytes = sizeOf(record.response);
    this.#storedBytes += record.sizeBytes;
    this.#stored.add(record);
    this.#limitBytes();
    record.resolveOutcome(response);
  }

  /** Ends a run without a response. */
  endWithoutResponse(record: KeyRecord, state: 'lost' | 'refused'): void {
    record.state = state;
    record.resolveOutcome(undefined);
  }

  /** Forgets a run that wrote nothing, so that the key may run later. */
  remove(record: KeyRecord): void {
    this.#runs.delete(record.text);
    record.resolveOutcome(undefined);
  }

  /** Forgets the keys that are too old to be accepted, once a second. */
  removeExpired(highestWallMs: number): void {
    if (highestWallMs < this.#expiredAtWallMs + EXPIRY_INTERVAL_MS) {
      return;
    }
    this.#expiredAtWallMs = highestWallMs;
    const oldestMs = highestWallMs - KEY_VALIDITY_MS;
    for (const records of [this.#runs, this.#refused]) {
      for (const record of records.values()) {
        if (record.issuedWallMs >= oldestMs) {
          continue;
        }
        records.delete(record.text);
        this.#dropResponse(record);
      }
    }
  }

  #limitBytes(): void {
    for (const record of this.#stored) {
      if (this.#storedBytes <= MAX_TOTAL_RESPONSE_BYTES) {
        return;
      }
      this.#dropResponse(record);
    }
  }

  #dropResponse(record: KeyRecord): void {
    if (this.#stored.delete(record)) {
      this.#storedBytes -= record.sizeBytes;
      const {statusCode} = record.response!;
      record.response = {statusCode, headers: {}};
    }
  }
}

function createRecord(identity: KeyIdentity, state: KeyState): KeyRecord {
  const {promise, resolve} = createDeferred<StoredResponse | undefined>();
  const {text, fingerprint, issuedWallMs} = identity;
  return {
    text,
    fingerprint,
    issuedWallMs,
    outcome: promise,
    resolveOutcome: resolve,
    state,
    sizeBytes: 0,
  };
}

function createDeferred<T>(): {
  promise: Promise<T>;
  resolve: (value: T) => void;
} {
  let resolve!: (value: T) => void;
  const promise = new Promise<T>(settle => (resolve = settle));
  return {promise, resolve};
}

function limitResponse(response: StoredResponse): StoredResponse {
  if (sizeOf(response) <= MAX_RESPONSE_BYTES) {
    return response;
  }
  const {statusCode, headers} = response;
  const withoutBody = {statusCode, headers};
  return sizeOf(withoutBody) <= MAX_RESPONSE_BYTES
    ? withoutBody
    : {statusCode, headers: {}};
}

function sizeOf({headers, body}: StoredResponse): number {
  let sizeBytes = body?.byteLength ?? 0;
  for (const [name, value] of Object.entries(headers)) {
    sizeBytes += name.length + String(value ?? '').length;
  }
  return sizeBytes;
}
