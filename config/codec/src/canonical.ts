import {Packr} from 'msgpackr';

const packr = new Packr({useRecords: false, variableMapSize: true});

/**
 * Encodes a value so that equal values give equal bytes: keys are sorted and
 * undefined fields left out.
 */
export function encodeCanonical(value: unknown): Uint8Array {
  return new Uint8Array(packr.pack(sortKeys(value)));
}

/** Decodes what `encodeCanonical` encoded. */
export function decodeCanonical(bytes: Uint8Array): unknown {
  return packr.unpack(bytes);
}

function sortKeys(value: unknown): unknown {
  if (Array.isArray(value)) {
    return value.map(sortKeys);
  }
  if (value instanceof Uint8Array || typeof value !== 'object' || !value) {
    return value;
  }
  const entries = Object.entries(value)
    .filter(([, field]) => field !== undefined)
    .sort(([a], [b]) => (a < b ? -1 : 1));
  return Object.fromEntries(entries.map(([key, v]) => [key, sortKeys(v)]));
}
