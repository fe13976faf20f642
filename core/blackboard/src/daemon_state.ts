import type {DataCentreName, ServiceName, VmId} from '@carobseam/core.types';
import type {LocalLoad} from '@carobseam/calls.types';
import type {ConfigSnapshot} from '@carobseam/config.snapshot';
import type {ListedVm} from '@carobseam/config.published_reader';
import type {
  CrashMark,
  MemberRecord,
  WorkerEndpoint,
} from '@carobseam/fleet.types';
import {Blackboard} from './blackboard.js';

/** Phase of a daemon's life cycle. */
export type Lifecycle = 'starting' | 'serving' | 'leaving';

/**
 * Lowest configuration versions that a daemon may apply, so that it never returns
 * to an older one; see docs/design.md, section 10.
 */
export interface VersionFloor {
  /** Version that this VM is known to have had; no lower one is ever applied. */
  readonly hard: number;
  /** Highest version that any VM is known to have had. */
  readonly soft: number;
  /** Whether the soft floor still applies. */
  readonly softActive: boolean;
  /** Whether the floor is determined: peers were asked, or none was reachable. */
  readonly settled: boolean;
}

/** A daemon of the data centre, with the observations of this daemon about it. */
export interface MemberView extends MemberRecord {
  /** Local wall time since which this daemon regards the member as dead, ms. */
  readonly deadSinceWallMs?: number;
  /** Whether a refused connection has proved that the process exited. */
  readonly goneProved?: boolean;
}

/** Time at which this process last resumed after a detected pause. */
export interface ProcessResume {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** Whether this daemon can reach a majority of its data centre. */
export interface MajorityContact {
  /** Whether a majority of the known daemons responded within 2 s. */
  readonly majority: boolean;
  /** Wall time since which a majority has responded without interruption, ms. */
  readonly majoritySinceWallMs: number;
}

/** Values of a daemon's blackboard. */
export interface DaemonState {
  snapshot: ConfigSnapshot | undefined;
  lifecycle: Lifecycle;
  /** Members of this daemon's data centre, including itself, by VM id. */
  members: ReadonlyMap<VmId, MemberView>;
  /** The platform's list of VMs, which may be outdated. */
  vmList: VmListHint;
  /** Workers of all data centres, by service. */
  endpoints: ReadonlyMap<ServiceName, readonly WorkerEndpoint[]>;
  /** Known daemons of other data centres. */
  remotePeers: readonly RemotePeer[];
  versionFloor: VersionFloor;
  /** Whether this daemon reads the platform for its data centre. */
  reader: boolean;
  lastResume: ProcessResume | undefined;
  contact: MajorityContact;
  localLoad: LocalLoad;
  crashMarks: readonly CrashMark[];
}

/** The platform's list of VMs, as the daemons that read it broadcast it. */
export interface VmListHint {
  /** The platform's index of the list, 0 before the first one. */
  readonly index: number;
  readonly vms: readonly ListedVm[];
}

/** A daemon of another data centre. */
export interface RemotePeer {
  readonly vmId: VmId;
  readonly dataCentre: DataCentreName;
  readonly address: string;
  readonly fleetPort: number;
}

/** Blackboard of a daemon. */
export type DaemonBlackboard = Blackboard<DaemonState>;

/** Creates the blackboard of a starting daemon. */
export function createDaemonBlackboard(): DaemonBlackboard {
  return new Blackboard<DaemonState>({
    snapshot: undefined,
    lifecycle: 'starting',
    members: new Map(),
    vmList: {index: 0, vms: []},
    endpoints: new Map(),
    remotePeers: [],
    versionFloor: {hard: 0, soft: 0, softActive: false, settled: false},
    reader: false,
    lastResume: undefined,
    contact: {majority: false, majoritySinceWallMs: 0},
    localLoad: {running: 0, queued: 0, slots: 0},
    crashMarks: [],
  });
}
