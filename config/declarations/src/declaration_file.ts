import {CarobseamError} from '@carobseam/core.errors';
import {readFileSync} from 'node:fs';
import path from 'node:path';
import {LineCounter, parseDocument, type Document} from 'yaml';
import type {z} from 'zod';

/** A problem of a declaration, with the place and the remedy. */
export interface DeclarationProblem {
  file: string;
  /** Line of the value, from 1. */
  line: number;
  message: string;
  hint: string;
}

/** One YAML file, with its value when it fits the schema. */
export interface DeclarationFile<Value> {
  /** Path below the directory of the declarations. */
  path: string;
  /** Absent when the file has a problem. */
  value?: Value;
  /** What the file contains, also when it does not fit; for references. */
  raw: unknown;
  problems: DeclarationProblem[];
  /** Line of a value, or of the nearest value around it. */
  lineOf: (keyPath: readonly PropertyKey[]) => number;
}

/** Options of `readDeclarationFile`. */
export interface ReadDeclarationFileOptions<Schema extends z.ZodType> {
  dir: string;
  file: string;
  schema: Schema;
}

/**
 * Reads one YAML file and checks it against a schema.
 *
 * @throws CarobseamError `DECLARATION_INVALID` when it cannot be read.
 */
export function readDeclarationFile<Schema extends z.ZodType>(
  options: ReadDeclarationFileOptions<Schema>,
): DeclarationFile<z.output<Schema>> {
  const {dir, file, schema} = options;
  const lineCounter = new LineCounter();
  const document = parseDocument(readText(path.join(dir, file)), {lineCounter});
  const lineOf = (keyPath: readonly PropertyKey[]) =>
    findLine(document, keyPath, lineCounter);
  if (document.errors.length > 0) {
    const problems = document.errors.map(error => ({
      file,
      line: lineCounter.linePos(error.pos[0]).line,
      message: error.message.split('\n', 1)[0]!.replace(/:$/, ''),
      hint: 'correct the YAML syntax',
    }));
    return {path: file, raw: undefined, problems, lineOf};
  }
  const raw: unknown = document.toJS();
  const result = schema.safeParse(raw);
  if (result.success) {
    return {path: file, value: result.data, raw, problems: [], lineOf};
  }
  const problems = result.error.issues.map(issue => ({
    file,
    line: lineOf(pathOf(issue)),
    ...describeIssue(issue),
  }));
  return {path: file, raw, problems, lineOf};
}

function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new CarobseamError({
      code: 'DECLARATION_INVALID',
      message: `cannot read ${file}`,
      hint: 'pass a directory with mesh.yaml, services/, policies/, routes/ and presets/',
      cause: error,
    });
  }
}

function pathOf(issue: z.core.$ZodIssue): readonly PropertyKey[] {
  return issue.code === 'unrecognized_keys'
    ? [...issue.path, issue.keys[0]!]
    : issue.path;
}

function describeIssue(issue: z.core.$ZodIssue): {
  message: string;
  hint: string;
} {
  const key = issue.path.join('.') || '(document)';
  if (issue.code === 'unrecognized_keys') {
    const keys = issue.keys.join(', ');
    return {
      message: `${key}: unknown key ${keys}`,
      hint: 'remove the key or correct its spelling, see docs/configuration.md',
    };
  }
  return {
    message: `${key}: ${issue.message}`,
    hint: 'correct the value, see docs/configuration.md',
  };
}

function findLine(
  document: Document.Parsed,
  keyPath: readonly PropertyKey[],
  lineCounter: LineCounter,
): number {
  for (let length = keyPath.length; length > 0; length--) {
    const node = document.getIn(keyPath.slice(0, length), true) as
      {range?: [number, number, number]} | undefined;
    if (node?.range) {
      return lineCounter.linePos(node.range[0]).line;
    }
  }
  return 1;
}
