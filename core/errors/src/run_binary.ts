import {CarobseamError} from './carobseam_error.js';
import {describeError} from './describe_error.js';

/** Exit code for bad input: arguments, settings or declarations. */
export const EXIT_BAD_INPUT = 2;

/**
 * Runs the main function of a program. An error is printed as one line; the exit
 * code is 2 for a `CarobseamError` and 1 for any other error.
 */
export async function runBinary(main: () => Promise<void>): Promise<void> {
  try {
    await main();
  } catch (error) {
    process.stderr.write(`error: ${describeError(error)}\n`);
    process.exitCode = error instanceof CarobseamError ? EXIT_BAD_INPUT : 1;
  }
}
