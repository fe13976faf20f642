import {splitAddress} from '@carobseam/core.net';
import type {Brand, DataCentreName, ServiceName} from '@carobseam/core.types';

/** Identifier of a worker; usually new after each start. */
export type WorkerId = Brand<string, 'WorkerId'>;

/** A worker, as its entry in the source describes it. */
export interface MeshWorker {
  id: WorkerId;
  service: ServiceName;
  /** IP address and port. */
  address: string;
  dataCentre: DataCentreName;
  /** Number of requests that the worker processes concurrently. */
  slots: number;
  isLeaving: boolean;
  /** Remaining time for which the worker is slow after its start, in ms. */
  coldRemainingMs: number;
  /** Wall time at which this incarnation started, in ms since the epoch; 0 when not stated. */
  bornMs: number;
  /**
   * Counts the worker's reports since its start; the entry is the report with
   * this number. Absent when the entry does not state it.
   */
  reportNumber?: number;
}

/** IP address of the VM that a worker runs on. */
export function vmAddressOf(worker: MeshWorker): string {
  return splitAddress(worker.address).host;
}
