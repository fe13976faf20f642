import {describeError} from '@carobseam/core.errors';
import {CommanderError} from 'commander';
import type {CliOutput} from './cli_output.js';
import {createProgram, exitCodeOfUsage} from './create_program.js';
import {exitCodeOf, exitCodes, type ExitCode} from './exit_code.js';

/**
 * Runs one command; an error is written as one line.
 *
 * @param args arguments without the interpreter and the script.
 */
export async function runCli(
  args: readonly string[],
  output: CliOutput,
): Promise<ExitCode> {
  let code: ExitCode = exitCodes.done;
  const program = createProgram({output, finish: result => (code = result)});
  try {
    await program.parseAsync(args, {from: 'user'});
    return code;
  } catch (error) {
    if (error instanceof CommanderError) {
      return exitCodeOfUsage(error.exitCode);
    }
    output.writeProgress(`error: ${describeError(error)}`);
    return exitCodeOf(error);
  }
}
