import type {MemberView} from '@carobseam/core.blackboard';
import type {Clock, VmId} from '@carobseam/core.types';
import {
  memberStateSchema,
  NOT_SERVING_WALL_MS,
  type MemberRecord,
} from '@carobseam/fleet.types';
import type {ListedVm} from '@carobseam/config.published_reader';

/** A member with what only this daemon knows of it. */
export interface TrackedMember {
  record: MemberRecord;
  /** Monotonic time since which the member is suspected, ms. */
  suspectSinceMs?: number;
  /** Whether it is suspected for so long that it should get no calls. */
  isUnresponsive?: boolean;
  deadSinceWallMs?: number;
  goneProved?: boolean;
}

/** What a reported record changed. */
export type MergeOutcome = 'unchanged' | 'refreshed' | 'changed' | 'refuted';

/** Options of a `MemberTable`. */
export interface MemberTableOptions {
  self: MemberRecord;
  clock: Clock;
}

/** Members of the own data centre; decides which reports are newer. */
export class MemberTable {
  readonly #clock: Clock;
  readonly #members = new Map<VmId, TrackedMember>();
  #self: MemberRecord;
  #listed = new Map<VmId, ListedVm>();
  #hasList = false;

  constructor(options: MemberTableOptions) {
    this.#clock = options.clock;
    this.#self = options.self;
  }

  get self(): MemberRecord {
    return this.#self;
  }

  /** Members without this daemon. */
  get peers(): IterableIterator<TrackedMember> {
    return this.#members.values();
  }

  /** Whether the platform's list of VMs is known. */
  get hasVmList(): boolean {
    return this.#hasList;
  }

  get size(): number {
    return this.#members.size + 1;
  }

  get(vmId: VmId): TrackedMember | undefined {
    return this.#members.get(vmId);
  }

  /** Changes the own record; a new incarnation makes peers accept it. */
  updateSelf(change: Partial<MemberRecord>, newIncarnation: boolean): void {
    const incarnation = this.#self.incarnation + (newIncarnation ? 1 : 0);
    this.#self = {...this.#self, ...change, incarnation};
  }

  /** Merges a report of a peer about any member, this daemon included. */
  merge(record: MemberRecord): MergeOutcome {
    if (record.dataCentre !== this.#self.dataCentre) {
      return 'unchanged';
    }
    if (record.vmId === this.#self.vmId) {
      return this.#refute(record);
    }
    const member = this.#members.get(record.vmId);
    if (!member) {
      return this.#add(record);
    }
    return isNewer(record, member.record)
      ? this.#replace(member, record)
      : refresh(member, record);
  }

  /** Suspects a member; a leaving one stays leaving until it is dead. */
  suspect(vmId: VmId): MergeOutcome {
    const outcome = this.recordObservedState(vmId, 'suspect');
    const member = this.#members.get(vmId);
    if (member && member.record.state !== 'dead') {
      member.suspectSinceMs ??= this.#clock.monotonicMs();
    }
    return outcome;
  }

  /** Ends the suspicion of a leaving member that responded. */
  clearSuspicion(vmId: VmId): void {
    const member = this.#members.get(vmId);
    if (member?.record.state === 'leaving') {
      member.suspectSinceMs = undefined;
      member.isUnresponsive = false;
    }
  }

  /** Reports a state that this daemon observed of a member. */
  recordObservedState(vmId: VmId, state: MemberRecord['state']): MergeOutcome {
    const member = this.#members.get(vmId);
    return member ? this.merge({...member.record, state}) : 'unchanged';
  }

  markExited(vmId: VmId): void {
    const member = this.#members.get(vmId);
    if (member?.record.state === 'dead') {
      member.goneProved = true;
    }
  }

  /** Restarts the suspicion of members, because this process was paused. */
  restartSuspicions(): void {
    for (const member of this.#members.values()) {
      if (member.suspectSinceMs !== undefined) {
        member.suspectSinceMs = this.#clock.monotonicMs();
      }
    }
  }

  /**
   * Takes over the platform's list: adds unknown VMs, and removes those that
   * left the list and do not respond. It changes no member that is known.
   */
  applyVmList(vms: readonly ListedVm[]): boolean {
    const {vmId: selfId, dataCentre} = this.#self;
    const own = vms.filter(
      vm => vm.dataCentre === dataCentre && vm.vmId !== selfId,
    );
    this.#hasList = true;
    this.#listed = new Map(own.map(vm => [vm.vmId, vm]));
    const added = own.filter(vm => !this.#members.has(vm.vmId));
    added.forEach(vm => this.#replaceRecord(recordOf(vm)));
    return this.removeUnlisted() || added.length > 0;
  }

  /**
   * Removes members that are neither listed nor respond. Incarnation 0 means
   * that a member is known from the list alone.
   */
  removeUnlisted(): boolean {
    const removed = [...this.#members.values()].filter(
      ({record}) =>
        !this.#listed.has(record.vmId) &&
        (record.state === 'dead' || record.incarnation === 0),
    );
    removed.forEach(({record}) => this.#members.delete(record.vmId));
    return removed.length > 0;
  }

  /** All members with this daemon, as the blackboard shows them. */
  toMemberViews(): Map<VmId, MemberView> {
    const view = new Map<VmId, MemberView>([[this.#self.vmId, this.#self]]);
    for (const {record, deadSinceWallMs, goneProved} of this.peers) {
      const isDead = record.state === 'dead';
      view.set(
        record.vmId,
        isDead ? {...record, deadSinceWallMs, goneProved} : record,
      );
    }
    return view;
  }

  #refute(record: MemberRecord): MergeOutcome {
    if (!isNewer(record, this.#self)) {
      return 'unchanged';
    }
    this.#self = {...this.#self, incarnation: record.incarnation + 1};
    return 'refuted';
  }

  #add(record: MemberRecord): MergeOutcome {
    // A removed member would otherwise come back with each late report.
    if (record.state === 'dead' && !this.#listed.has(record.vmId)) {
      return 'unchanged';
    }
    this.#replaceRecord(record);
    return 'changed';
  }

  #replace(member: TrackedMember, record: MemberRecord): MergeOutcome {
    const isSame = record.incarnation === member.record.incarnation;
    this.#replaceRecord(
      isSame ? {...record, ...latestOf(member.record, record)} : record,
    );
    return 'changed';
  }

  #replaceRecord(record: MemberRecord): void {
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

/** Whether a report replaces a known record: by incarnation, then by state. */
function isNewer(record: MemberRecord, known: MemberRecord): boolean {
  return record.incarnation === known.incarnation
    ? rankOf(record) > rankOf(known)
    : record.incarnation > known.incarnation;
}

function rankOf({state}: MemberRecord): number {
  return memberStateSchema.options.indexOf(state);
}

function refresh(member: TrackedMember, record: MemberRecord): MergeOutcome {
  if (record.incarnation !== member.record.incarnation) {
    return 'unchanged';
  }
  const latest = latestOf(member.record, record);
  if (latest.configVersion === member.record.configVersion) {
    return 'unchanged';
  }
  member.record = {...member.record, ...latest};
  return 'refreshed';
}

function latestOf(
  a: MemberRecord,
  b: MemberRecord,
): Pick<MemberRecord, 'configVersion'> {
  return {configVersion: Math.max(a.configVersion, b.configVersion)};
}

function recordOf(vm: ListedVm): MemberRecord {
  const {state, ...rest} = vm;
  return {
    ...rest,
    state: state === 'live' ? 'alive' : 'leaving',
    incarnation: 0,
    // Not known yet; 0 keeps the VM a possible owner of keys.
    servingSinceWallMs: 0,
    configVersion: 0,
  };
}

/** Whether a member serves calls, by its own record. */
export function isServing(record: MemberRecord): boolean {
  return record.servingSinceWallMs !== NOT_SERVING_WALL_MS;
}
