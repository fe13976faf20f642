import {dataCentreNameSchema, type DataCentreName} from '@carobseam/core.types';
import type {IdempotencyKey} from './key_guard.js';

const KEY_PATTERN = /^(.{1,63})\.([0-9a-z]{1,10})\.([0-9A-Za-z_-]{8,96})$/;

/**
 * Parses `<data centre>.<issue time in base 36>.<random>`, with a random part
 * of 8 to 96 letters, digits, dashes or underscores. The name of the data
 * centre may contain dots.
 *
 * @returns undefined when the text is malformed.
 */
export function parseIdempotencyKey(text: unknown): IdempotencyKey | undefined {
  const match = typeof text === 'string' ? KEY_PATTERN.exec(text) : null;
  if (!match) {
    return undefined;
  }
  const dataCentre = dataCentreNameSchema.safeParse(match[1]);
  const issuedWallMs = parseInt(match[2]!, 36);
  if (!dataCentre.success || !Number.isSafeInteger(issuedWallMs)) {
    return undefined;
  }
  return {text: match[0], dataCentre: dataCentre.data, issuedWallMs};
}

/** Formats an idempotency key, see `parseIdempotencyKey`. */
export function formatIdempotencyKey(
  dataCentre: DataCentreName,
  issuedWallMs: number,
  random: string,
): string {
  return `${dataCentre}.${Math.floor(issuedWallMs).toString(36)}.${random}`;
}
