import {CarobseamError} from '@carobseam/core.errors';
import type {ConfigVersion, Digest} from '@carobseam/core.types';
import {encodeManifest} from '@carobseam/config.codec';
import {
  listFilesToPublish,
  renderVersion,
  type Declarations,
  type RenderedVersion,
} from '@carobseam/config.declarations';
import {MAX_VALUE_BYTES, packKey, type Manifest} from '@carobseam/config.types';
import {mkdirSync, renameSync, rmSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {loadValidDeclarations} from './check_command.js';
import type {CliOutput} from './cli_output.js';
import {exitCodes, type ExitCode} from './exit_code.js';
import {readManifestOf, requireManifest} from './published_manifest.js';
import {advanceHistory, readHistory, writeHistory} from './render_history.js';

/**
 * Versions whose packs stay in the directory. At 3,700 changes a day, 20
 * versions are 7 to 8 minutes; a reader fetches its packs within seconds.
 */
export const DEFAULT_KEEP_VERSIONS = 20;

/** Options of `carobseam render`. */
export interface RenderOptions {
  /** Directory that the operators' publisher uploads. */
  out: string;
  keyPrefix: string;
  /** Manifest file or rendered directory that is published now. */
  published?: string;
  /** Lowest number for the version. */
  minVersion?: number;
  keepVersions: number;
  /** Renders also when nothing has changed. */
  allowUnchanged?: boolean;
}

/**
 * Writes the files of the next version: packs first, the manifest last. The
 * version is one more than the highest that is known.
 *
 * @throws CarobseamError `VERSION_UNCHANGED` when nothing has changed.
 */
export function renderToDirectory(
  declarations: Declarations,
  options: RenderOptions,
): RenderedVersion {
  const {out, keyPrefix, minVersion = 1} = options;
  const held = readManifestOf(out, keyPrefix);
  const latest = laterOf(held, readPublished(options));
  const next = Math.max((latest?.version ?? 0) + 1, minVersion);
  const version = next as ConfigVersion;
  const rendered = renderVersion({declarations, version});
  const {manifest} = rendered.contents;
  if (!options.allowUnchanged && latest && isUnchanged(latest, manifest)) {
    throw new CarobseamError({
      code: 'VERSION_UNCHANGED',
      message: `the declarations are those of version ${latest.version}`,
      hint: 'change a declaration, or pass --allow-unchanged',
    });
  }
  requireSizes(rendered);
  const {history, removablePacks} = advanceHistory({
    history: readHistory(out),
    previous: held,
    next: manifest,
    keepVersions: options.keepVersions,
  });
  writeFiles(rendered, options);
  writeHistory(out, history);
  for (const digest of removablePacks) {
    rmSync(path.join(out, packKey(keyPrefix, digest as Digest)), {force: true});
  }
  return rendered;
}

/** `carobseam render`. */
export function renderCommand(
  dir: string,
  options: RenderOptions,
  output: CliOutput,
): ExitCode {
  const declarations = loadValidDeclarations(dir, output);
  const {contents, packs} = renderToDirectory(declarations, options);
  const {version, activePreset} = contents.manifest;
  const sizeBytes = [...packs.values()].reduce((n, b) => n + b.byteLength, 0);
  output.writeResult(
    `version ${version}, preset ${activePreset}, digest ` +
      `${contents.manifestDigest}, ${packs.size} packs, ${sizeBytes} bytes, ` +
      `in ${options.out}`,
  );
  return exitCodes.done;
}

function readPublished(options: RenderOptions): Manifest | undefined {
  const {published, keyPrefix} = options;
  return published === undefined
    ? undefined
    : requireManifest(published, keyPrefix);
}

function laterOf(a?: Manifest, b?: Manifest): Manifest | undefined {
  return (b?.version ?? 0) > (a?.version ?? 0) ? b : a;
}

/** Packs are not compared: another compressor may give other bytes. */
function isUnchanged(previous: Manifest, next: Manifest): boolean {
  const {version, packs} = previous;
  const sameVersion = {...next, version, packs};
  const before = Buffer.from(encodeManifest(previous));
  return before.equals(encodeManifest(sameVersion));
}

function requireSizes(rendered: RenderedVersion): void {
  const manifest = encodeManifest(rendered.contents.manifest);
  const values = [...rendered.packs.values(), manifest];
  const largestBytes = Math.max(...values.map(bytes => bytes.byteLength));
  if (largestBytes > MAX_VALUE_BYTES) {
    throw new CarobseamError({
      code: 'VERSION_INVALID',
      message: `a rendered file has ${largestBytes} bytes, the platform's limit is ${MAX_VALUE_BYTES}`,
      hint: 'split the largest groups of routes',
    });
  }
}

function writeFiles(rendered: RenderedVersion, options: RenderOptions): void {
  for (const {key, bytes} of listFilesToPublish(rendered, options.keyPrefix)) {
    const file = path.join(options.out, key);
    mkdirSync(path.dirname(file), {recursive: true});
    // An interrupted run leaves the previous manifest whole.
    writeFileSync(`${file}.tmp`, bytes);
    renameSync(`${file}.tmp`, file);
  }
}
