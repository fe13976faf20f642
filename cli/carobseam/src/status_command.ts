import {describeError} from '@carobseam/core.errors';
import {AdminClient, parseAddress} from './admin_client.js';
import type {CliOutput} from './cli_output.js';
import {exitCodes, type ExitCode} from './exit_code.js';
import {mergeStatuses, type FleetStatus} from './fleet_status.js';
import {formatStatus} from './format_status.js';
import {watchStatus} from './watch_status.js';

/** Options of `carobseam status`. */
export interface StatusOptions {
  json?: boolean;
  watch?: boolean;
  /** Version that must be active everywhere; implies `watch`. */
  until?: number;
  /** Time for the watch, in seconds. */
  timeout?: number;
  /** Whether data centres without an asked daemon are left out. */
  askedOnly?: boolean;
  /** Time for one request, in ms. */
  requestTimeout: number;
}

/** `carobseam status`. */
export async function statusCommand(
  addresses: readonly string[],
  options: StatusOptions,
  output: CliOutput,
): Promise<ExitCode> {
  addresses.forEach(parseAddress);
  const read = () => readFleetStatus(addresses, options.requestTimeout);
  const write = (status: FleetStatus) => {
    const lines = options.json
      ? [JSON.stringify(status)]
      : formatStatus(status);
    lines.forEach(output.writeResult);
  };
  if (options.watch || options.until !== undefined) {
    return watchStatus({
      ...options,
      read,
      write,
      progress: output.writeProgress,
    });
  }
  const status = await read();
  write(status);
  return status.unanswered.length > 0 ? exitCodes.notFulfilled : exitCodes.done;
}

/** Asks daemons concurrently. */
async function readFleetStatus(
  addresses: readonly string[],
  requestTimeoutMs: number,
): Promise<FleetStatus> {
  const ask = async (address: string) => {
    try {
      const client = new AdminClient(address, requestTimeoutMs);
      return {address, status: await client.status()};
    } catch (error) {
      return {address, error: describeError(error)};
    }
  };
  return mergeStatuses(await Promise.all(addresses.map(ask)));
}
