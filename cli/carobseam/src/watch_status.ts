import {CarobseamError} from '@carobseam/core.errors';
import {exitCodes, type ExitCode} from './exit_code.js';
import type {FleetStatus} from './fleet_status.js';

const POLL_MS = 500;
const DEFAULT_UNTIL_TIMEOUT_S = 60;
const MAX_NAMES = 5;

/** Options of `watchStatus`. */
export interface WatchStatusOptions {
  read: () => Promise<FleetStatus>;
  write: (status: FleetStatus) => void;
  progress: (line: string) => void;
  until?: number;
  /** Seconds; without it and without `until` the watch does not end. */
  timeout?: number;
  askedOnly?: boolean;
}

/**
 * Reads the status again and again until a version is active everywhere.
 *
 * @throws CarobseamError `TIMEOUT` that names what is missing.
 */
export async function watchStatus(
  options: WatchStatusOptions,
): Promise<ExitCode> {
  const {until, timeout} = options;
  const timeoutS = timeout ?? (until ? DEFAULT_UNTIL_TIMEOUT_S : Infinity);
  const endMs = performance.now() + timeoutS * 1000;
  let shown = '';
  for (;;) {
    const status = await options.read();
    const goal = until ?? status.version;
    const missing = findRolloutBlockers(
      status,
      goal,
      options.askedOnly ?? false,
    );
    const line = describeProgress(status, goal, missing);
    if (line !== shown) {
      options.progress(line);
      shown = line;
    }
    if (until !== undefined && missing.length === 0) {
      options.write(status);
      return exitCodes.done;
    }
    if (performance.now() + POLL_MS > endMs) {
      options.write(status);
      return endOfWatch(options, timeoutS, missing);
    }
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
}

/** What keeps a version from being active everywhere, one entry each. */
export function findRolloutBlockers(
  status: FleetStatus,
  goal: number,
  askedOnly: boolean,
): string[] {
  const expected = status.dataCentres
    .flatMap(dataCentre => dataCentre.vms)
    .filter(vm => vm.expected);
  const vms = expected.filter(vm => vm.version < goal);
  return [
    // A daemon that has just started does not know its data centre yet.
    ...(expected.length === 0 ? ['no daemon knows its data centre yet'] : []),
    ...status.unanswered.map(({address}) => `${address} does not respond`),
    ...vms.map(vm => `${vm.vmId} holds ${vm.version}`),
    ...status.conflicts.map(vmId => `${vmId} holds another digest`),
    ...(askedOnly ? [] : status.otherDataCentres).map(
      ({name}) => `no daemon of ${name} was asked`,
    ),
  ];
}

function describeProgress(
  status: FleetStatus,
  goal: number,
  missing: readonly string[],
): string {
  const vms = status.dataCentres
    .flatMap(dataCentre => dataCentre.vms)
    .filter(vm => vm.expected);
  const holding = vms.filter(vm => vm.version >= goal).length;
  const waiting = missing.length > 0 ? `; waiting: ${joinSome(missing)}` : '';
  return `version ${goal}: ${holding} of ${vms.length} VMs${waiting}`;
}

function endOfWatch(
  {until}: WatchStatusOptions,
  timeoutS: number,
  missing: readonly string[],
): ExitCode {
  if (until === undefined) {
    return exitCodes.done;
  }
  throw new CarobseamError({
    code: 'TIMEOUT',
    message: `version ${until} is not active everywhere after ${timeoutS} s: ${joinSome(missing)}`,
    hint: 'see the reasons in the status above, ask a daemon of each data centre, or wait longer with --timeout',
  });
}

function joinSome(items: readonly string[]): string {
  const more = items.length - MAX_NAMES;
  const shown = items.slice(0, MAX_NAMES).join(', ');
  return more > 0 ? `${shown} and ${more} more` : shown;
}
