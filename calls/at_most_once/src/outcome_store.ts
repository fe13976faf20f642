import type {StoredResponse} from './key_guard.js';
import {
  KEY_VALIDITY_MS,
  MAX_EXECUTED_KEYS,
  MAX_REFUSED_KEYS,
  MAX_RESPONSE_BYTES,
  MAX_TOTAL_RESPONSE_BYTES,
} from './limits.js';

/**
 * State of a key that this process has accepted or refused for good; `lost`
 * means that its outcome is unknown.
 */
export type KeyState = 'running' | 'done' | 'lost' | 'refused';

/** Stored state and outcome of one key. */
export interface KeyRecord {
  readonly text: string;
  readonly fingerprint: string;
  readonly issuedWallMs: number;
  /** Resolves with the response, or undefined when there is none. */
  readonly outcome: Promise<StoredResponse | undefined>;
  readonly resolveOutcome: (response: StoredResponse | undefined) => void;
  state: KeyState;
  response?: StoredResponse;
  sizeBytes: number;
}

/** Fields that identify a key in the store. */
export type KeyIdentity = Pick<
  KeyRecord,
  'text' | 'fingerprint' | 'issuedWallMs'
>;

// A pass over 20,000 keys takes 0.1 ms (p50) to 1.3 ms (p99).
const EXPIRY_INTERVAL_MS = 1000;

/**
 * Stores the state and the response of keys until their validity ends, with
 * limits on the number of keys and bytes.
 */
export class OutcomeStore {
  readonly #executions = new Map<string, KeyRecord>();
  readonly #refusals = new Map<string, KeyRecord>();
  /** Records with a stored response, oldest first. */
  readonly #recordsWithResponse = new Set<KeyRecord>();
  #storedBytes = 0;
  #lastExpiryWallMs = 0;

  /** Number of stored keys. */
  get size(): number {
    return this.#executions.size + this.#refusals.size;
  }

  /** Size of the stored headers and bodies. */
  get storedBytes(): number {
    return this.#storedBytes;
  }

  /** Whether no further execution can be stored. */
  get isFull(): boolean {
    return this.#executions.size >= MAX_EXECUTED_KEYS;
  }

  find(text: string): KeyRecord | undefined {
    return this.#executions.get(text) ?? this.#refusals.get(text);
  }

  /** Adds a key whose request is about to be executed. */
  addExecution(identity: KeyIdentity): KeyRecord {
    const record = createRecord(identity, 'running');
    this.#executions.set(record.text, record);
    return record;
  }

  /** Adds a key that is never executed here; false when the store is full. */
  addRefusal(identity: KeyIdentity): boolean {
    if (this.#refusals.size >= MAX_REFUSED_KEYS) {
      return false;
    }
    this.#refusals.set(identity.text, createRecord(identity, 'refused'));
    return true;
  }

  /** Stores the response, without its body when it is too large. */
  complete(record: KeyRecord, response: StoredResponse): void {
    record.state = 'done';
    record.response = limitResponse(response);
    record.sizeBytes = sizeOf(record.response);
    this.#storedBytes += record.sizeBytes;
    this.#recordsWithResponse.add(record);
    this.#enforceByteLimit();
    record.resolveOutcome(response);
  }

  /** Ends an execution that has no response to store. */
  endWithoutResponse(record: KeyRecord, state: 'lost' | 'refused'): void {
    record.state = state;
    record.resolveOutcome(undefined);
  }

  /** Removes a key whose request was not written; it may be executed later. */
  remove(record: KeyRecord): void {
    this.#executions.delete(record.text);
    record.resolveOutcome(undefined);
  }

  /** Removes keys that are too old to be accepted, at most once a second. */
  removeExpired(highestWallMs: number): void {
    if (highestWallMs < this.#lastExpiryWallMs + EXPIRY_INTERVAL_MS) {
      return;
    }
    this.#lastExpiryWallMs = highestWallMs;
    const oldestMs = highestWallMs - KEY_VALIDITY_MS;
    for (const records of [this.#executions, this.#refusals]) {
      for (const record of records.values()) {
        if (record.issuedWallMs >= oldestMs) {
          continue;
        }
        records.delete(record.text);
        this.#dropResponse(record);
      }
    }
  }

  #enforceByteLimit(): void {
    for (const record of this.#recordsWithResponse) {
      if (this.#storedBytes <= MAX_TOTAL_RESPONSE_BYTES) {
        return;
      }
      this.#dropResponse(record);
    }
  }

  #dropResponse(record: KeyRecord): void {
    if (this.#recordsWithResponse.delete(record)) {
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
