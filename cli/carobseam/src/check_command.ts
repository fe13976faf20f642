import {CarobseamError} from '@carobseam/core.errors';
import type {ConfigVersion} from '@carobseam/core.types';
import {
  loadDeclarations,
  renderVersion,
  type Declarations,
  type DeclarationProblem,
} from '@carobseam/config.declarations';
import {validateVersion} from '@carobseam/config.validation';
import type {CliOutput} from './cli_output.js';
import {exitCodes, type ExitCode} from './exit_code.js';

/** Version with which declarations are checked before they have one. */
const TRIAL_VERSION = 1 as ConfigVersion;

/** Result of `checkDeclarations`: the declarations, or what is wrong. */
export type CheckResult =
  {valid: true; declarations: Declarations} | {valid: false; lines: string[]};

/** Checks declarations as the daemons do and reports every problem. */
export function checkDeclarations(dir: string): CheckResult {
  const {declarations, problems} = loadDeclarations(dir);
  if (!declarations) {
    return {valid: false, lines: problems.map(formatProblem)};
  }
  const {contents} = renderVersion({declarations, version: TRIAL_VERSION});
  const result = validateVersion({contents, allPresets: true});
  if (result.valid) {
    return {valid: true, declarations};
  }
  const lines = result.problems.map(({message, hint}) => `${message}; ${hint}`);
  return {valid: false, lines};
}

/**
 * Checks declarations and writes each problem on a line.
 *
 * @throws CarobseamError `DECLARATION_INVALID` with the number of problems.
 */
export function loadValidDeclarations(
  dir: string,
  output: CliOutput,
): Declarations {
  const result = checkDeclarations(dir);
  if (result.valid) {
    return result.declarations;
  }
  result.lines.forEach(output.writeResult);
  const count = result.lines.length;
  throw new CarobseamError({
    code: 'DECLARATION_INVALID',
    message: `${count} ${count === 1 ? 'problem' : 'problems'} in ${dir}`,
    hint: 'correct what is listed and run carobseam check again',
  });
}

/** `carobseam check`. */
export function checkCommand(dir: string, output: CliOutput): ExitCode {
  const {resources, presets, mesh} = loadValidDeclarations(dir, output);
  output.writeResult(
    `valid: ${resources.length} resources, ${presets.length} presets, ` +
      `active preset ${mesh.activePreset}`,
  );
  return exitCodes.done;
}

function formatProblem(problem: DeclarationProblem): string {
  const {file, line, message, hint} = problem;
  return `${file}:${line}: ${message}; ${hint}`;
}
