import type {VmListHint} from '@carobseam/core.blackboard';
import type {DataCentreName} from '@carobseam/core.types';

/** Options of `callShares`. */
export interface CallRatesOptions {
  /** Calls per second that the platform accepts from all daemons. */
  fleetCallsPerSecond: number;
  readersPerDataCentre: number;
  /** Number of daemons while the list of VMs is not known. */
  fleetSizeHint: number;
  vmList: VmListHint;
}

/** Calls per second of one daemon, by its role. */
export interface CallRates {
  readonly reader: number;
  readonly solo: number;
}

/**
 * Divides half of the budget among the readers and the other half among all
 * daemons, so that the sum stays within the budget even when all are solo.
 */
export function computeCallRates(options: CallRatesOptions): CallRates {
  const {vmList, fleetSizeHint} = options;
  const half = options.fleetCallsPerSecond / 2;
  const solo = half / (vmList.vms.length || fleetSizeHint);
  const readers = countReaders(options);
  return {solo, reader: readers > 0 ? half / readers : solo};
}

function countReaders(options: CallRatesOptions): number {
  const sizes = new Map<DataCentreName, number>();
  for (const {dataCentre} of options.vmList.vms) {
    sizes.set(dataCentre, (sizes.get(dataCentre) ?? 0) + 1);
  }
  return [...sizes.values()].reduce(
    (sum, size) => sum + Math.min(size, options.readersPerDataCentre),
    0,
  );
}
