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

/** Phase of a daemon's life. */
export type Lifecycle = 'starting' | 'serving' | 'leaving';

/** Lowest versions that may be applied; see docs/design.md, section 10. */
export interface VersionFloor {
  /** Version that this VM was seen to hold; never undercut. */
  readonly hard: number;
  /** Version that any VM was seen to hold. */
  readonly soft: number;
  /** Whether the soft floor still holds. */
  readonly softActive: boolean;
  /** Whether peers were asked, or none could be. */
  readonly settled: boolean;
}

/** A member of the data centre with what this daemon observed of it. */
export interface MemberView extends MemberRecord {
  /** Local wall time since which the member is dead, ms. */
  readonly deadSinceWallMs?: number;
  /** Whether a refused connection proved that the process is gone. */
  readonly goneProved?: boolean;
}

/** Last detected pause of this process. */
export interface ProcessResume {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** Connection of this daemon to its data centre. */
export interface MajorityContact {
  /** Whether a majority of the known daemons responded within 2 s. */
  readonly majority: boolean;
  /** Wall time since which the majority responds without a gap, ms. */
  readonly majoritySinceWallMs: number;
}

/** Slots of a daemon's blackboard. */
export interface DaemonState {
  snapshot: ConfigSnapshot | undefined;
  lifecycle: Lifecycle;
  /** Members of the own data centre, with this daemon, by VM id. */
  members: ReadonlyMap<VmId, MemberView>;
  /** The platform's list of VMs, a hint that lags. */
  vmList: VmListHint;
  /** Workers of all data centres, by service. */
  endpoints: ReadonlyMap<ServiceName, readonly WorkerEndpoint[]>;
  /** Fleet endpoints of known daemons of other data centres. */
  remotePeers: readonly RemotePeer[];
  versionFloor: VersionFloor;
  /** Whether this daemon reads the platform. */
  reader: boolean;
  lastResume: ProcessResume | undefined;
  contact: MajorityContact;
  localLoad: LocalLoad;
  crashMarks: readonly CrashMark[];
}

/** The platform's list of VMs as the readers spread it. */
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

/** Creates the blackboard of a daemon that starts. */
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
