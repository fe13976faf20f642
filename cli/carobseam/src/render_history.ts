import {configVersionSchema, digestSchema} from '@carobseam/core.types';
import {CarobseamError} from '@carobseam/core.errors';
import type {Manifest} from '@carobseam/config.types';
import {existsSync, readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {z} from 'zod';

const historySchema = z.strictObject({
  versions: z.array(
    z.strictObject({
      version: configVersionSchema,
      packs: z.array(digestSchema),
    }),
  ),
});

/** Packs of the versions that a rendered directory holds, oldest first. */
export type RenderHistory = z.output<typeof historySchema>;

/** File of the history; it is beside the key prefix and not published. */
const HISTORY_FILE = 'render-history.json';

/** @throws CarobseamError `VERSION_INVALID` when the file is malformed. */
export function readHistory(dir: string): RenderHistory {
  const file = path.join(dir, HISTORY_FILE);
  if (!existsSync(file)) {
    return {versions: []};
  }
  try {
    return historySchema.parse(JSON.parse(readFileSync(file, 'utf8')));
  } catch (error) {
    throw new CarobseamError({
      code: 'VERSION_INVALID',
      message: `${file} is malformed`,
      hint: 'restore it, or delete it and the packs that no reader needs',
      cause: error,
    });
  }
}

/** Writes the history into a rendered directory, replacing the previous one. */
export function writeHistory(dir: string, history: RenderHistory): void {
  const text = `${JSON.stringify(history, null, 2)}\n`;
  writeFileSync(path.join(dir, HISTORY_FILE), text);
}

/** Options of `advanceHistory`. */
export interface AdvanceHistoryOptions {
  history: RenderHistory;
  /** Manifest that the directory held before. */
  previous?: Manifest;
  next: Manifest;
  /** Versions whose packs are kept, the next one included. */
  keepVersions: number;
}

/** Result of `advanceHistory`. */
export interface AdvancedHistory {
  history: RenderHistory;
  /** Digests of the packs that no kept version refers to. */
  removablePacks: string[];
}

/**
 * Adds a version and drops the oldest ones. Only packs of recorded versions
 * become removable, so packs of unknown origin stay.
 */
export function advanceHistory(
  options: AdvanceHistoryOptions,
): AdvancedHistory {
  const {history, previous, next, keepVersions} = options;
  const added = [previous, next].flatMap(manifest =>
    manifest ? [entryOf(manifest)] : [],
  );
  const addedVersions = new Set(added.map(({version}) => version));
  const versions = [
    ...history.versions.filter(({version}) => !addedVersions.has(version)),
    ...added,
  ].sort((a, b) => a.version - b.version);
  const kept = versions.slice(-keepVersions);
  const keptPacks = new Set(kept.flatMap(({packs}) => packs));
  const dropped = versions.slice(0, -keepVersions);
  const removablePacks = [...new Set(dropped.flatMap(({packs}) => packs))];
  return {
    history: {versions: kept},
    removablePacks: removablePacks.filter(digest => !keptPacks.has(digest)),
  };
}

function entryOf({
  version,
  packs,
}: Manifest): RenderHistory['versions'][number] {
  return {version, packs: packs.map(({digest}) => digest)};
}
