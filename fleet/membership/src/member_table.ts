import type {MemberView} from '@carobseam/core.blackboard';
import type {Clock, VmId} from '@carobseam/core.types';
import {
  memberStateSchema,
  NOT_SERVING_WALL_MS,
  type MemberRecord,
} from '@carobseam/fleet.types';
import type {ListedVm} from '@carobseam/config.published_reader';

/** A member's record with the local observations of this daemon. */
export interface TrackedMember {
  record: MemberRecord;
  /** Monotonic time at which the member became suspected, ms. */
  suspectSinceMs?: number;
  /** Whether it has been suspected for so long that it should get no calls. */
  isUnresponsive?: boolean;
  deadSinceWallMs?: number;
  /** Whether a refused connection proved that its process has exited. */
  goneProved?: boolean;
}

/**
 * Effect of a reported record on the table: `refreshed` changes only the config
 * version of a member; `refuted` rejects a false report about this daemon.
 */
export type MergeOutcome = 'unchanged' | 'refreshed' | 'changed' | 'refuted';

/** Options of a `MemberTable`. */
export interface MemberTableOptions {
  self: MemberRecord;
  clock: Clock;
}

/**
 * The members of this daemon's data centre. Merges reports about them; the
 * incarnation of a member, and then its state, decide which report is newer.
 */
export class MemberTable {
  readonly #clock: Clock;
  readonly #members = new Map<VmId, TrackedMember>();
  #self: MemberRecord;
  #listedVms = new Map<VmId, ListedVm>();
  #hasVmList = false;

  constructor(options: MemberTableOptions) {
    this.#clock = options.clock;
    this.#self = options.self;
  }

  get self(): MemberRecord {
    return this.#self;
  }

  /** All members except this daemon. */
  get peers(): IterableIterator<TrackedMember> {
    return this.#members.values();
  }

  /** Whether the platform's list of VMs was received. */
  get hasVmList(): boolean {
    return this.#hasVmList;
  }

  get size(): number {
    return this.#members.size + 1;
  }

  get(vmId: VmId): TrackedMember | undefined {
    return this.#members.get(vmId);
  }

  /** Changes this daemon's record. A new incarnation makes peers accept it. */
  updateSelf(change: Partial<MemberRecord>, isNewIncarnation: boolean): void {
    const incarnation = this.#self.incarnation + (isNewIncarnation ? 1 : 0);
    this.#self = {...this.#self, ...change, incarnation};
  }

  /** Merges a peer's report about any member, including this daemon. */
  merge(record: MemberRecord): MergeOutcome {
    if (record.dataCentre !== this.#self.dataCentre) {
      return 'unchanged';
    }
    if (record.vmId === this.#self.vmId) {
      return this.#refuteReport(record);
    }
    const member = this.#members.get(record.vmId);
    if (!member) {
      return this.#addMember(record);
    }
    return isNewer(record, member.record)
      ? this.#updateMember(member, record)
      : refreshConfigVersion(member, record);
  }

  /** Marks a member as suspect; a leaving one stays leaving until dead. */
  suspect(vmId: VmId): MergeOutcome {
    const outcome = this.recordObservedState(vmId, 'suspect');
    const member = this.#members.get(vmId);
    if (member && member.record.state !== 'dead') {
      member.suspectSinceMs ??= this.#clock.monotonicMs();
    }
    return outcome;
  }

  /** Clears the suspicion of a leaving member that responded. */
  clearSuspicion(vmId: VmId): void {
    const member = this.#members.get(vmId);
    if (member?.record.state === 'leaving') {
      member.suspectSinceMs = undefined;
      member.isUnresponsive = false;
    }
  }

  /** Merges a member's state that this daemon observed itself. */
  recordObservedState(vmId: VmId, state: MemberRecord['state']): MergeOutcome {
    const member = this.#members.get(vmId);
    return member ? this.merge({...member.record, state}) : 'unchanged';
  }

  /** Records that a dead member's process is proved to have exited. */
  markExited(vmId: VmId): void {
    const member = this.#members.get(vmId);
    if (member?.record.state === 'dead') {
      member.goneProved = true;
    }
  }

  /** Restarts all suspicion timeouts, because this process was paused. */
  restartSuspicions(): void {
    for (const member of this.#members.values()) {
      if (member.suspectSinceMs !== undefined) {
        member.suspectSinceMs = this.#clock.monotonicMs();
      }
    }
  }

  /**
   * Applies the platform's list of VMs: adds VMs that are not members yet, and
   * removes members that are not listed and do not respond. Records of existing
   * members are not changed.
   *
   * @returns whether any member was added or removed.
   */
  applyVmList(vms: readonly ListedVm[]): boolean {
    const {vmId: selfId, dataCentre} = this.#self;
    const localVms = vms.filter(
      vm => vm.dataCentre === dataCentre && vm.vmId !== selfId,
    );
    this.#hasVmList = true;
    this.#listedVms = new Map(localVms.map(vm => [vm.vmId, vm]));
    const added = localVms.filter(vm => !this.#members.has(vm.vmId));
    added.forEach(vm => this.#storeRecord(createRecordFromList(vm)));
    return this.removeUnlisted() || added.length > 0;
  }

  /**
   * Removes members that are not listed and do not respond. Incarnation 0 means
   * that this daemon knows a member only from the platform's list.
   *
   * @returns whether any member was removed.
   */
  removeUnlisted(): boolean {
    const removed = [...this.#members.values()].filter(
      ({record}) =>
        !this.#listedVms.has(record.vmId) &&
        (record.state === 'dead' || record.incarnation === 0),
    );
    removed.forEach(({record}) => this.#members.delete(record.vmId));
    return removed.length > 0;
  }

  /** Returns all members, including this daemon, for the blackboard. */
  toMemberViews(): Map<VmId, MemberView> {
    const views = new Map<VmId, MemberView>([[this.#self.vmId, this.#self]]);
    for (const {record, deadSinceWallMs, goneProved} of this.peers) {
      const isDead = record.state === 'dead';
      views.set(
        record.vmId,
        isDead ? {...record, deadSinceWallMs, goneProved} : record,
      );
    }
    return views;
  }

  #refuteReport(record: MemberRecord): MergeOutcome {
    if (!isNewer(record, this.#self)) {
      return 'unchanged';
    }
    this.#self = {...this.#self, incarnation: record.incarnation + 1};
    return 'refuted';
  }

  #addMember(record: MemberRecord): MergeOutcome {
    // Otherwise, late reports would add a removed member again.
    if (record.state === 'dead' && !this.#listedVms.has(record.vmId)) {
      return 'unchanged';
    }
    this.#storeRecord(record);
    return 'changed';
  }

  #updateMember(member: TrackedMember, record: MemberRecord): MergeOutcome {
    const hasSameIncarnation = record.incarnation === member.record.incarnation;
    this.#storeRecord(
      hasSameIncarnation
        ? {...record, ...getLatestConfigVersion(member.record, record)}
        : record,
    );
    return 'changed';
  }

  #storeRecord(record: MemberRecord): void {
    const tracked: TrackedMember = {record};
    if (record.state === 'suspect') {
      tracked.suspectSinceMs = this.#clock.monotonicMs();
    }
    if (record.state === 'dead') {
      tracked.deadSinceWallMs = this.#clock.wallMs();
    }
    this.#members.set(record.vmId, tracked);
  }
}

/** Compares records of one member by incarnation and then by state. */
function isNewer(record: MemberRecord, currentRecord: MemberRecord): boolean {
  return record.incarnation === currentRecord.incarnation
    ? getStateRank(record) > getStateRank(currentRecord)
    : record.incarnation > currentRecord.incarnation;
}

function getStateRank({state}: MemberRecord): number {
  return memberStateSchema.options.indexOf(state);
}

function refreshConfigVersion(
  member: TrackedMember,
  record: MemberRecord,
): MergeOutcome {
  if (record.incarnation !== member.record.incarnation) {
    return 'unchanged';
  }
  const latest = getLatestConfigVersion(member.record, record);
  if (latest.configVersion === member.record.configVersion) {
    return 'unchanged';
  }
  member.record = {...member.record, ...latest};
  return 'refreshed';
}

function getLatestConfigVersion(
  a: MemberRecord,
  b: MemberRecord,
): Pick<MemberRecord, 'configVersion'> {
  return {configVersion: Math.max(a.configVersion, b.configVersion)};
}

function createRecordFromList(vm: ListedVm): MemberRecord {
  const {state, ...rest} = vm;
  return {
    ...rest,
    state: state === 'live' ? 'alive' : 'leaving',
    incarnation: 0,
    // Not known yet. 0 means serving, so the VM may own idempotency keys.
    servingSinceWallMs: 0,
    configVersion: 0,
  };
}

/** Whether a member reports that it serves calls. */
export function isServing(record: MemberRecord): boolean {
  return record.servingSinceWallMs !== NOT_SERVING_WALL_MS;
}
