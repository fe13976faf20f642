import type {Metrics} from '@carobseam/core.metrics';
import type {Clock, Digest, RandomSource, VmId} from '@carobseam/core.types';
import {
  rendezvousOrder,
  type ContactMessage,
  type DatagramMessage,
  type FleetEndpoint,
  type MemberRecord,
  type MembershipMessage,
} from '@carobseam/fleet.types';
import {MajorityTracker} from './majority_tracker.js';
import type {ProcessExitCheck} from './process_exit_check.js';
import {LocalHealth} from './local_health.js';
import {MemberTable, type TrackedMember} from './member_table.js';
import {ProbeOrder, shuffled} from './probe_order.js';
import {ProbeTracker, type PendingProbe} from './probe_tracker.js';
import {Sequence} from './sequence.js';
import {UpdateQueue} from './update_queue.js';

/** Options of a `MembershipCore`. */
export interface MembershipCoreOptions {
  self: MemberRecord;
  clock: Clock;
  random: RandomSource;
  metrics: Metrics;
  processExitCheck: ProcessExitCheck;
  /** Reports a pause of this process to `handlePause` before a decision. */
  checkPause: () => void;
  send: (to: FleetEndpoint, message: DatagramMessage) => void;
  /** Version that this daemon holds. */
  getHeldVersion: () => {version: number; manifestDigest?: Digest};
  /** Called for each version that a VM was seen to hold. */
  onVersionSeen: (vmId: VmId, version: number) => void;
  /** Called for each message of a peer, with the digest of its manifest. */
  onPeerMessage: (peer: MemberRecord, manifestDigest?: Digest) => void;
  /** Called with a change that all daemons should learn at once. */
  onUrgentUpdate: (record: MemberRecord) => void;
  /** Called after members changed. */
  onChange: () => void;
}

/** Interval at which `tick` is to be called. */
export const MEMBERSHIP_TICK_MS = 100;

const PROBE_PERIOD_MS = 1000;
const INDIRECT_PROBES = 3;
const SUSPECT_MS = 2000;
/** Time of suspicion from which a member gets no calls. */
const UNRESPONSIVE_MS = 1000;
const DEAD_PROBE_PERIOD_MS = 5000;
/** Spreads the checks of many daemons that learn of a death together. */
const GONE_CHECK_JITTER_MS = 500;
/** Peers that are told a new version at once; see `witnessesOf`. */
const WITNESSES = 5;
const SEQUENCE_BOUND = 60_000;

/** Failure detection and member states; performs no I/O of its own. */
export class MembershipCore {
  readonly table: MemberTable;
  readonly #options: MembershipCoreOptions;
  readonly #contact: MajorityTracker;
  readonly #probes: ProbeTracker;
  readonly #updates = new UpdateQueue();
  readonly #health = new LocalHealth();
  readonly #probeOrder: ProbeOrder<VmId>;
  readonly #deadOrder: ProbeOrder<VmId>;
  readonly #sequence: Sequence;
  /** Times at which to check whether a process is gone, monotonic ms. */
  readonly #goneChecks = new Map<VmId, number>();
  readonly #handlers: Record<
    MembershipMessage['kind'],
    (message: MembershipMessage, from: FleetEndpoint) => void
  > = {
    probe: (message, from) => this.#reply('probe_response', message, from),
    probe_response: message => this.#handleResponse(message),
    indirect_probe: (message, from) => this.#relay(message, from),
    indirect_response: message => this.#handleIndirectResponse(message),
    announcement: () => {},
  };
  #nextProbeMs: number;
  #nextDeadProbeMs: number;

  constructor(options: MembershipCoreOptions) {
    const {self, clock, random, send} = options;
    this.#options = options;
    this.table = new MemberTable({self, clock});
    this.#probes = new ProbeTracker(clock);
    this.#probeOrder = new ProbeOrder(random);
    this.#deadOrder = new ProbeOrder(random);
    this.#sequence = new Sequence(random.nextInt(SEQUENCE_BOUND));
    this.#contact = new MajorityTracker({
      table: this.table,
      clock,
      sequence: this.#sequence,
      send,
    });
    // Daemons that start together do not probe together.
    const phaseMs = random.nextInt(PROBE_PERIOD_MS);
    this.#nextProbeMs = clock.monotonicMs() + phaseMs;
    this.#nextDeadProbeMs = clock.monotonicMs() + DEAD_PROBE_PERIOD_MS;
  }

  get contact() {
    return this.#contact.contact;
  }

  /** Sends what is due and acts on time limits that passed. */
  tick(): void {
    this.#options.checkPause();
    const {factor} = this.#health;
    this.#probes
      .takeDirectTimeouts(factor)
      .forEach(probe => this.#probeIndirectly(probe));
    this.#probes.takeFailures(factor).forEach(({vmId}) => {
      this.#health.recordFailure();
      this.#suspect(vmId);
    });
    this.#expireSuspicions();
    this.#probeNext();
    this.#probeDead();
    this.#runGoneChecks();
    this.#contact.tick();
  }

  receive(message: DatagramMessage, from: FleetEndpoint): void {
    this.#options.checkPause();
    if (!('sender' in message)) {
      this.#contact.receive(message as ContactMessage, from);
      return;
    }
    this.#options.onPeerMessage(message.sender, message.manifestDigest);
    this.mergeRecord(message.sender);
    this.table.clearSuspicion(message.sender.vmId);
    message.updates.forEach(update => this.mergeRecord(update));
    this.#handlers[message.kind](message, from);
  }

  /** Takes over what a peer reports about a member. */
  mergeRecord(record: MemberRecord): void {
    this.#options.onVersionSeen(record.vmId, record.configVersion);
    const wasDead = this.table.get(record.vmId)?.record.state === 'dead';
    const outcome = this.table.merge(record);
    if (outcome === 'refuted') {
      this.#publishSelf(record.state === 'dead');
    }
    if (outcome === 'changed') {
      this.#spread(record.vmId);
      if (wasDead) {
        // Others that were cut off together with it are likely back, too.
        this.#nextDeadProbeMs = this.#options.clock.monotonicMs();
      }
    }
    if (outcome === 'refreshed') {
      this.#options.onChange();
    }
  }

  /** Starts to serve calls. */
  startServing(): void {
    const servingSinceWallMs = this.#options.clock.wallMs();
    this.table.updateSelf({servingSinceWallMs}, true);
    this.#publishSelf(true);
  }

  /** Tells every member by datagram that this daemon leaves. */
  announceLeaving(): void {
    this.table.updateSelf({state: 'leaving'}, true);
    this.#publishSelf(true);
    this.#announceTo([...this.table.peers]);
  }

  /** Repeats the announcement of `announceLeaving`, in case it was lost. */
  resendAnnouncement(): void {
    this.#announceTo([...this.table.peers]);
  }

  /** Tells the witnesses of this VM the version that it now holds. */
  announceVersion(): void {
    this.#announceTo(
      rendezvousOrder(
        this.table.self.vmId,
        [...this.table.peers],
        ({record}) => record.vmId,
      ).slice(0, WITNESSES),
    );
  }

  /** Treats the own view as stale after a pause, and refutes reports. */
  handlePause(): void {
    const nowMs = this.#options.clock.monotonicMs();
    this.#probes.clear();
    this.#contact.reset();
    this.table.restartSuspicions();
    for (const peer of this.table.peers) {
      if (peer.suspectSinceMs !== undefined) {
        this.#probe(peer);
      }
    }
    this.#nextProbeMs = nowMs;
    this.table.updateSelf({}, true);
    this.#publishSelf(true);
  }

  #probeNext(): void {
    const nowMs = this.#options.clock.monotonicMs();
    if (nowMs < this.#nextProbeMs) {
      return;
    }
    this.#nextProbeMs = nowMs + PROBE_PERIOD_MS;
    const vmId = this.#probeOrder.next(this.#idsWhere(isNotDead));
    if (vmId) {
      this.#probe(this.table.get(vmId)!);
    }
  }

  #probeDead(): void {
    const nowMs = this.#options.clock.monotonicMs();
    if (nowMs < this.#nextDeadProbeMs) {
      return;
    }
    this.#nextDeadProbeMs = nowMs + DEAD_PROBE_PERIOD_MS;
    const vmId = this.#deadOrder.next(this.#idsWhere(m => !isNotDead(m)));
    const member = vmId && this.table.get(vmId);
    if (member) {
      this.#probe(member);
      if (!member.goneProved) {
        this.#goneChecks.set(vmId, nowMs);
      }
    }
  }

  #probe(member: TrackedMember, relayFor?: PendingProbe['relayFor']): void {
    const {vmId} = member.record;
    const seq = this.#sequence.next();
    this.#probes.add({seq, vmId, relayFor});
    this.#send('probe', seq, member.record);
  }

  #probeIndirectly({seq, vmId}: PendingProbe): void {
    const member = this.table.get(vmId);
    if (!member || !isNotDead(member)) {
      return;
    }
    this.#goneChecks.set(vmId, this.#options.clock.monotonicMs());
    const helpers = this.#idsWhere(
      ({record}) => record.state === 'alive' && record.vmId !== vmId,
    );
    const {address, fleetPort} = member.record;
    const target = {vmId, address, fleetPort};
    shuffled([...helpers], this.#options.random)
      .slice(0, INDIRECT_PROBES)
      .forEach(id => {
        this.#send('indirect_probe', seq, this.table.get(id)!.record, target);
      });
  }

  #suspect(vmId: VmId): void {
    this.#countProbe('failed');
    const member = this.table.get(vmId);
    if (member && isNotDead(member)) {
      if (this.table.suspect(vmId) === 'changed') {
        this.#spread(vmId);
      }
    }
  }

  #expireSuspicions(): void {
    const nowMs = this.#options.clock.monotonicMs();
    for (const member of [...this.table.peers]) {
      const ageMs = nowMs - (member.suspectSinceMs ?? nowMs);
      if (ageMs >= SUSPECT_MS * this.#health.factor) {
        this.#declareDead(member.record.vmId);
      } else if (ageMs >= UNRESPONSIVE_MS && !member.isUnresponsive) {
        member.isUnresponsive = true;
        this.#options.onChange();
      }
    }
  }

  #declareDead(vmId: VmId): void {
    if (this.table.recordObservedState(vmId, 'dead') === 'changed') {
      this.#spread(vmId);
      this.#options.onUrgentUpdate(this.table.get(vmId)!.record);
    }
  }

  #runGoneChecks(): void {
    const nowMs = this.#options.clock.monotonicMs();
    for (const [vmId, dueMs] of this.#goneChecks) {
      if (dueMs <= nowMs) {
        this.#goneChecks.delete(vmId);
        void this.#checkGone(vmId);
      }
    }
  }

  async #checkGone(vmId: VmId): Promise<void> {
    const record = this.table.get(vmId)?.record;
    const isGone =
      record && (await this.#options.processExitCheck.hasExited(record));
    const known = this.table.get(vmId)?.record;
    if (!isGone || known?.incarnation !== record.incarnation) {
      return;
    }
    this.#declareDead(vmId);
    this.table.markExited(vmId);
    this.#options.onChange();
  }

  #handleResponse(message: MembershipMessage): void {
    const probe = this.#probes.finish(message.seq, message.sender.vmId);
    if (!probe) {
      return;
    }
    this.#contact.recordResponse(probe.vmId);
    if (probe.relayFor) {
      const {endpoint, seq} = probe.relayFor;
      this.#send('indirect_response', seq, endpoint);
    } else {
      this.#health.recordSuccess();
      this.#countProbe('direct');
    }
  }

  #handleIndirectResponse(message: MembershipMessage): void {
    if (this.#probes.finish(message.seq)) {
      this.#countProbe('indirect');
    }
  }

  #relay(message: MembershipMessage, from: FleetEndpoint): void {
    const target = message.target && this.table.get(message.target.vmId);
    if (target) {
      this.#probe(target, {endpoint: from, seq: message.seq});
    }
  }

  #reply(
    kind: MembershipMessage['kind'],
    message: MembershipMessage,
    to: FleetEndpoint,
  ): void {
    this.#send(kind, message.seq, {...to, vmId: message.sender.vmId});
  }

  #announceTo(peers: readonly TrackedMember[]): void {
    for (const {record} of peers) {
      if (record.state !== 'dead') {
        this.#send('announcement', this.#sequence.next(), record);
      }
    }
  }

  #send(
    kind: MembershipMessage['kind'],
    seq: number,
    to: FleetEndpoint & {vmId?: VmId},
    target?: MembershipMessage['target'],
  ): void {
    const {version, manifestDigest} = this.#options.getHeldVersion();
    const receiver = to.vmId && this.table.get(to.vmId)?.record;
    // The receiver refutes a false report about itself with its next message.
    const isDoubted = receiver && receiver.state !== 'alive';
    const updates = this.#updates
      .take(this.table.size, isDoubted ? [receiver] : [])
      .filter((record, at) => at === 0 || record.vmId !== receiver?.vmId);
    const sender = {...this.table.self, configVersion: version};
    const message = {kind, seq, sender, manifestDigest, updates, target};
    this.#options.send(to, message);
  }

  /** Spreads the own record, urgently when peers may act on an older one. */
  #publishSelf(urgent: boolean): void {
    this.#updates.add(this.table.self);
    if (urgent) {
      this.#options.onUrgentUpdate(this.table.self);
    }
    this.#options.onChange();
  }

  #spread(vmId: VmId): void {
    const member = this.table.get(vmId);
    if (member) {
      this.#updates.add(member.record);
      if (member.record.state === 'dead') {
        this.#scheduleGoneCheck(vmId);
      }
    }
    this.#options.onChange();
  }

  #scheduleGoneCheck(vmId: VmId): void {
    const {clock, random} = this.#options;
    const jitterMs = random.nextInt(GONE_CHECK_JITTER_MS);
    this.#goneChecks.set(vmId, clock.monotonicMs() + jitterMs);
  }

  #idsWhere(accept: (member: TrackedMember) => boolean): Set<VmId> {
    const accepted = [...this.table.peers].filter(accept);
    return new Set(accepted.map(({record}) => record.vmId));
  }

  #countProbe(outcome: string): void {
    this.#options.metrics.increment('carobseam_probes_total', {outcome});
  }
}

function isNotDead({record}: TrackedMember): boolean {
  return record.state !== 'dead';
}
