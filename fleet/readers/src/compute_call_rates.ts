import type {VmListHint} from '@carobseam/core.blackboard';
import type {DataCentreName} from '@carobseam/core.types';

/** Options of `computeCallRates`. */
export interface CallRatesOptions {
  /** Calls per second that the platform accepts from all daemons. */
  fleetCallsPerSecond: number;
  readersPerDataCentre: number;
  /** Assumed number of daemons while the list of VMs is not known. */
  fleetSizeHint: number;
  vmList: VmListHint;
}

/** Maximum calls per second of one daemon, by its `ReadMode`. */
export interface CallRates {
  readonly reader: number;
  readonly poller: number;
}

/**
 * Divides one half of the calls that the platform accepts among the readers and
 * the other half among all daemons, so that the limit holds even when all of
 * them poll.
 */
export function computeCallRates(options: CallRatesOptions): CallRates {
  const {vmList, fleetSizeHint} = options;
  const half = options.fleetCallsPerSecond / 2;
  const poller = half / (vmList.vms.length || fleetSizeHint);
  const readers = countReaders(options);
  return {poller, reader: readers > 0 ? half / readers : poller};
}

function countReaders(options: CallRatesOptions): number {
  const sizeByDataCentre = new Map<DataCentreName, number>();
  for (const {dataCentre} of options.vmList.vms) {
    sizeByDataCentre.set(
      dataCentre,
      (sizeByDataCentre.get(dataCentre) ?? 0) + 1,
    );
  }
  return [...sizeByDataCentre.values()].reduce(
    (sum, size) => sum + Math.min(size, options.readersPerDataCentre),
    0,
  );
}
