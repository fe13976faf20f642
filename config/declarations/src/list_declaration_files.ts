import {CarobseamError} from '@carobseam/core.errors';
import {readdirSync, type Dirent} from 'node:fs';
import path from 'node:path';
import type {DeclarationProblem} from './declaration_file.js';

/** File that chooses the preset. */
export const MESH_FILE = 'mesh.yaml';

/** Directories of declarations. */
const DECLARATION_DIRS = ['services', 'policies', 'routes', 'presets'] as const;

type DeclarationDir = (typeof DECLARATION_DIRS)[number];

/** Files of declarations, by directory. */
export interface DeclarationFiles {
  files: Record<DeclarationDir, string[]>;
  /** Files that are no declarations, so that no misplaced one is ignored. */
  problems: DeclarationProblem[];
}

/**
 * Lists the YAML files below a directory in a stable order. Hidden files and
 * Markdown pages are left out; every other unexpected file is a problem.
 *
 * @throws CarobseamError `DECLARATION_INVALID` when it is no directory of
 * declarations.
 */
export function listDeclarationFiles(dir: string): DeclarationFiles {
  const problems: DeclarationProblem[] = [];
  const entries = listEntries(dir);
  if (!entries.some(({name}) => name === MESH_FILE)) {
    throw notDeclarations(dir, `${dir} holds no ${MESH_FILE}`);
  }
  for (const entry of entries) {
    const known = entry.isDirectory()
      ? (DECLARATION_DIRS as readonly string[]).includes(entry.name)
      : entry.name === MESH_FILE;
    if (!known) {
      problems.push(unknownFile(entry.name));
    }
  }
  const files = {} as Record<DeclarationDir, string[]>;
  for (const name of DECLARATION_DIRS) {
    const present = entries.some(
      entry => entry.name === name && entry.isDirectory(),
    );
    files[name] = present ? listYamlFiles(dir, name, problems) : [];
  }
  return {files, problems};
}

function listYamlFiles(
  dir: string,
  name: DeclarationDir,
  problems: DeclarationProblem[],
): string[] {
  const files: string[] = [];
  for (const entry of listEntries(path.join(dir, name))) {
    const file = `${name}/${entry.name}`;
    if (!entry.isDirectory() && entry.name.endsWith('.yaml')) {
      files.push(file);
    } else {
      problems.push(unknownFile(file));
    }
  }
  return files;
}

function listEntries(dir: string): Dirent[] {
  try {
    return readdirSync(dir, {withFileTypes: true})
      .filter(({name}) => !name.startsWith('.') && !name.endsWith('.md'))
      .sort((a, b) => (a.name < b.name ? -1 : 1));
  } catch (error) {
    throw notDeclarations(dir, `cannot read directory ${dir}`, error);
  }
}

function unknownFile(file: string): DeclarationProblem {
  const hint = file.endsWith('.yml')
    ? 'rename it to .yaml'
    : 'remove it, or move it out of the declarations';
  return {file, line: 1, message: 'unknown file', hint};
}

function notDeclarations(
  dir: string,
  message: string,
  cause?: unknown,
): CarobseamError {
  return new CarobseamError({
    code: 'DECLARATION_INVALID',
    message,
    hint: 'pass a directory with mesh.yaml, services/, policies/, routes/ and presets/',
    cause,
    info: {dir},
  });
}
