import type {DataCentreName, ServiceName, VmId} from '@carobseam/core.types';

/** A worker that calls can be sent to, through the daemon on its VM. */
export interface WorkerEndpoint {
  readonly vmId: VmId;
  readonly dataCentre: DataCentreName;
  readonly service: ServiceName;
  readonly address: string;
  readonly callersPort: number;
  /** Whether the worker is leaving and accepts no new calls. */
  readonly leaving: boolean;
}
