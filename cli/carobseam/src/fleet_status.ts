import type {
  DaemonStatus,
  MemberStatus,
} from '@carobseam/daemon.admin/messages';
import {explainLag} from './explain_lag.js';

/** Response of one asked daemon, or why there is none. */
export interface StatusResult {
  address: string;
  status?: DaemonStatus;
  /** One line with the remedy. */
  error?: string;
}

/** State of a VM: as its peers see it, or its own lifecycle. */
export type VmState = MemberStatus['state'] | DaemonStatus['lifecycle'];

/** One VM of a data centre that was asked. */
export interface VmStatus {
  vmId: string;
  service: string;
  state: VmState;
  /** Highest version that the VM is known to hold. */
  version: number;
  /** Whether the VM responded itself; else its peers told its version. */
  asked: boolean;
  reader: boolean;
  /** Whether the VM is expected to follow new versions. */
  expected: boolean;
  /** Why the VM is behind; absent when it is not. */
  lag?: string;
}

/** One data centre, as its asked daemons see it. */
export interface DataCentreStatus {
  name: string;
  readers: string[];
  membersByState: Record<string, number>;
  vms: VmStatus[];
}

/** What the asked daemons know together. */
export interface FleetStatus {
  /** Highest version that any VM holds. */
  version: number;
  activePreset?: string;
  manifestDigest?: string;
  dataCentres: DataCentreStatus[];
  /** Data centres of which no daemon responded. */
  otherDataCentres: Array<{name: string; listedVms: number}>;
  /** VMs that hold the highest version with another digest. */
  conflicts: string[];
  unanswered: Array<{address: string; error: string}>;
}

const NOT_EXPECTED: ReadonlySet<VmState> = new Set<VmState>([
  'leaving',
  'dead',
]);

/** Merges what several daemons say; a VM's own response counts most. */
export function mergeStatuses(answers: readonly StatusResult[]): FleetStatus {
  const statuses = answers.flatMap(({status}) => (status ? [status] : []));
  const version = Math.max(0, ...statuses.flatMap(versionsIn));
  const holders = statuses.filter(status => status.version === version);
  const names = [...new Set(statuses.map(({dataCentre}) => dataCentre))].sort();
  return {
    version,
    activePreset: holders[0]?.activePreset,
    manifestDigest: holders[0]?.manifestDigest,
    dataCentres: names.map(name => mergeDataCentre(name, statuses, version)),
    otherDataCentres: mergeOthers(statuses, names),
    conflicts: holders
      .filter(status => status.manifestDigest !== holders[0]!.manifestDigest)
      .map(({vmId}) => vmId),
    unanswered: answers.flatMap(({address, error}) =>
      error === undefined ? [] : [{address, error}],
    ),
  };
}

function versionsIn(status: DaemonStatus): number[] {
  return [
    status.version,
    ...status.members.map(({configVersion}) => configVersion),
  ];
}

function mergeDataCentre(
  name: string,
  statuses: readonly DaemonStatus[],
  version: number,
): DataCentreStatus {
  const own = statuses.filter(({dataCentre}) => dataCentre === name);
  const members = mergeMembers(own);
  const vms = [...members.values()]
    .map(member => vmStatusOf(member, own, version))
    .sort((a, b) => (a.vmId < b.vmId ? -1 : 1));
  const membersByState: Record<string, number> = {};
  for (const {state} of vms) {
    membersByState[state] = (membersByState[state] ?? 0) + 1;
  }
  const readers = vms.filter(({reader}) => reader).map(({vmId}) => vmId);
  return {name, readers, membersByState, vms};
}

/** For each VM the record of the highest incarnation and version. */
function mergeMembers(
  statuses: readonly DaemonStatus[],
): Map<string, MemberStatus> {
  const merged = new Map<string, MemberStatus>();
  for (const member of statuses.flatMap(({members}) => members)) {
    const known = merged.get(member.vmId);
    const newer = !known || member.incarnation > known.incarnation;
    const record = newer ? member : known;
    const configVersion = Math.max(
      member.configVersion,
      known?.configVersion ?? 0,
    );
    merged.set(member.vmId, {...record, configVersion});
  }
  return merged;
}

function vmStatusOf(
  member: MemberStatus,
  statuses: readonly DaemonStatus[],
  version: number,
): VmStatus {
  const {vmId, service} = member;
  const own = statuses.find(status => status.vmId === vmId);
  const state = own?.lifecycle ?? member.state;
  const held = own?.version ?? member.configVersion;
  const reader = own
    ? own.reader
    : statuses.some(({readers}) => readers.includes(vmId));
  const lag =
    held < version ? explainLag({state, own, goal: version}) : undefined;
  return {
    vmId,
    service,
    state,
    version: held,
    asked: own !== undefined,
    reader,
    expected: !NOT_EXPECTED.has(state),
    lag,
  };
}

function mergeOthers(
  statuses: readonly DaemonStatus[],
  asked: readonly string[],
): FleetStatus['otherDataCentres'] {
  const listed = new Map<string, number>();
  for (const other of statuses.flatMap(s => s.otherDataCentres)) {
    const known = listed.get(other.dataCentre) ?? 0;
    listed.set(other.dataCentre, Math.max(known, other.listedVms));
  }
  return [...listed]
    .filter(([name]) => !asked.includes(name))
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([name, listedVms]) => ({name, listedVms}));
}
