import {CarobseamError} from '@carobseam/core.errors';
import {AdminClient} from './admin_client.js';
import type {CliOutput} from './cli_output.js';
import {exitCodes, type ExitCode} from './exit_code.js';

const POLL_MS = 200;

/** Options of `carobseam drain`. */
export interface DrainOptions {
  /** Waits until the daemon has ended. */
  wait?: boolean;
  /** Time for the wait, in seconds. */
  timeout: number;
  requestTimeout: number;
}

/**
 * `carobseam drain`.
 *
 * @throws CarobseamError `TIMEOUT` when the daemon still runs.
 */
export async function drainCommand(
  address: string,
  options: DrainOptions,
  output: CliOutput,
): Promise<ExitCode> {
  const client = new AdminClient(address, options.requestTimeout);
  await client.drain();
  output.writeResult(`${client.address}: draining, it takes no new work`);
  if (!options.wait) {
    return exitCodes.done;
  }
  const endMs = performance.now() + options.timeout * 1000;
  while (performance.now() < endMs) {
    if (!(await client.isUp())) {
      output.writeResult(`${client.address}: ended`);
      return exitCodes.done;
    }
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
  throw new CarobseamError({
    code: 'TIMEOUT',
    message: `daemon at ${client.address} still runs after ${options.timeout} s`,
    hint: 'wait for its calls in flight, or lower shutdownTimeoutMs',
  });
}
