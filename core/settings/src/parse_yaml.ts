import {CarobseamError, type ErrorCode} from '@carobseam/core.errors';
import {parseDocument} from 'yaml';
import type {z} from 'zod';

/** Options of `parseYaml`. */
export interface ParseYamlOptions<Schema extends z.ZodType> {
  text: string;
  /** Name of the file or other source, for error messages. */
  source: string;
  schema: Schema;
  /** Code of the error that is thrown for invalid input. */
  code: ErrorCode;
}

/**
 * Parses YAML and validates it against a schema.
 *
 * @throws CarobseamError that names each invalid key, its value and the remedy.
 */
export function parseYaml<Schema extends z.ZodType>(
  options: ParseYamlOptions<Schema>,
): z.output<Schema> {
  const document = parseDocument(options.text);
  const [syntaxError] = document.errors;
  if (syntaxError) {
    throw new CarobseamError({
      code: options.code,
      message: `${options.source}: ${firstLine(syntaxError.message)}`,
      hint: 'correct the YAML syntax',
    });
  }
  const value: unknown = document.toJS();
  const result = options.schema.safeParse(value);
  if (result.success) {
    return result.data;
  }
  const problems = result.error.issues.map(issue =>
    describeIssue(issue, value),
  );
  throw new CarobseamError({
    code: options.code,
    message: `${options.source}: ${problems.join('; ')}`,
    hint: 'correct these keys and start again',
  });
}

function describeIssue(issue: z.core.$ZodIssue, root: unknown): string {
  const key = issue.path.join('.') || '(document)';
  if (issue.code === 'unrecognized_keys') {
    return `${key}: unknown key ${issue.keys.join(', ')}, remove it`;
  }
  const value = issue.path.reduce<unknown>(getValue, root);
  const shownValue = value === undefined ? 'missing' : JSON.stringify(value);
  return `${key} (${shownValue}): ${issue.message}`;
}

function getValue(parent: unknown, key: PropertyKey): unknown {
  return (parent as Record<PropertyKey, unknown> | undefined)?.[key];
}

function firstLine(text: string): string {
  return text.split('\n', 1)[0]!;
}
