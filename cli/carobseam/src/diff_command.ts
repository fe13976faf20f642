import type {CliOutput} from './cli_output.js';
import {compareContents, type ContentsChange} from './compare_contents.js';
import {exitCodes, type ExitCode} from './exit_code.js';
import {formatTable} from './format_table.js';
import {loadContents} from './mesh_contents.js';

/** Options of `carobseam diff`. */
export interface DiffOptions {
  keyPrefix: string;
  json?: boolean;
  /** Whether differences give exit code 1. */
  exitCode?: boolean;
}

/** `carobseam diff`. */
export function diffCommand(
  before: string,
  after: string,
  options: DiffOptions,
  output: CliOutput,
): ExitCode {
  const {keyPrefix} = options;
  const from = loadContents(before, keyPrefix, output);
  const to = loadContents(after, keyPrefix, output);
  const changes = compareContents(from, to);
  if (options.json) {
    const result = {before: from.label, after: to.label, changes};
    output.writeResult(JSON.stringify(result));
  } else {
    output.writeResult(
      `${from.label} -> ${to.label}: ${changes.length} changes`,
    );
    formatChanges(changes).forEach(output.writeResult);
  }
  return options.exitCode && changes.length > 0
    ? exitCodes.notFulfilled
    : exitCodes.done;
}

function formatChanges(changes: readonly ContentsChange[]): string[] {
  if (changes.length === 0) {
    return [];
  }
  const titles = ['CHANGE', 'KIND', 'NAME', 'PRESET', 'FIELD', 'VALUE'];
  return formatTable([titles, ...changes.flatMap(changeRows)]);
}

function changeRows(change: ContentsChange): string[][] {
  const {kind, name, preset = '(shared)', fields} = change;
  const columns = [change.change, kind, name, preset];
  if (change.change !== 'changed') {
    const values = fields.map(
      ({field, before, after}) => `${field}=${formatValue(after ?? before)}`,
    );
    return [[...columns, '', values.join(' ')]];
  }
  return fields.map(({field, before, after}) => [
    ...columns,
    field,
    `${formatValue(before)} -> ${formatValue(after)}`,
  ]);
}

function formatValue(value: unknown): string {
  return typeof value === 'string' ? value : (JSON.stringify(value) ?? '-');
}
