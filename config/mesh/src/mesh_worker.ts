import {splitAddress} from '@carobseam/core.net';
import type {Brand, DataCentreName, ServiceName} from '@carobseam/core.types';

/** Identifier of one worker; mostly new at each start. */
export type WorkerId = Brand<string, 'WorkerId'>;
/** Revision counter of the source; grows with each change. */
export type SourceRevision = Brand<number, 'SourceRevision'>;

/** A worker as its own entry describes it. */
export interface MeshWorker {
  id: WorkerId;
  service: ServiceName;
  /** IP address and port. */
  address: string;
  dataCentre: DataCentreName;
  /** Requests that the worker processes concurrently. */
  slots: number;
  isLeaving: boolean;
  /** How much longer the worker is slow after its start, in ms. */
  coldRemainingMs: number;
  /** Start of this incarnation, ms since the epoch; 0 when not stated. */
  bornMs: number;
}

/** IP address of the VM that a worker runs on. */
export function vmAddressOf(worker: MeshWorker): string {
  return splitAddress(worker.address).host;
}
