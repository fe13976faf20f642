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
import {ProbeOrder, shuffle} from './probe_order.js';
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
  /** Calls `handlePause` if this process was paused; runs before decisions. */
  checkPause: () => void;
  send: (to: FleetEndpoint, message: DatagramMessage) => void;
  /** Returns the version that this daemon currently holds, 0 for none. */
  getHeldVersion: () => {version: number; manifestDigest?: Digest};
  /** Called for each report that a VM holds a version. */
  onVersionSeen: (vmId: VmId, version: number) => void;
  /** Called for each message of a peer, with the peer's manifest digest. */
  onPeerMessage: (peer: MemberRecord, manifestDigest?: Digest) => void;
  /** Called with a change to be broadcast to all daemons immediately. */
  onUrgentUpdate: (record: MemberRecord) => void;
  /** Called after the members changed. */
  onChange: () => void;
}

/** Interval at which `tick` must be called. */
export const MEMBERSHIP_TICK_MS = 100;

const PROBE_PERIOD_MS = 1000;
/** Peers that are asked to probe a member that did not respond. */
const INDIRECT_PROBE_HELPERS = 3;
/** Time of suspicion after which a member is declared dead. */
const SUSPICION_TIMEOUT_MS = 2000;
/** Time of suspicion after which a member gets no calls. */
const UNRESPONSIVE_AFTER_MS = 1000;
const DEAD_PROBE_PERIOD_MS = 5000;
/** Spreads the checks of many daemons that receive the same report at once. */
const EXIT_CHECK_JITTER_MS = 500;
/**
 * Number of witnesses: the first peers in rendezvous order for this VM's id.
 * They are notified at once of each new version that this daemon holds, and
 * after a restart it asks them which version it held before.
 */
const VERSION_WITNESSES = 5;
const INITIAL_SEQUENCE_BOUND = 60_000;

/**
 * SWIM-style failure detector and gossip protocol for one data centre. Each
 * daemon probes one peer per period, first directly and after a timeout through
 * other peers. A peer that does not respond becomes suspect, and is declared
 * dead unless it refutes the suspicion with a higher incarnation. The class
 * performs no I/O of its own: the caller passes in messages and ticks, and
 * messages are sent through a callback.
 */
export class MembershipCore {
  readonly table: MemberTable;
  readonly #options: MembershipCoreOptions;
  readonly #majorityTracker: MajorityTracker;
  readonly #probes: ProbeTracker;
  readonly #updateQueue = new UpdateQueue();
  readonly #localHealth = new LocalHealth();
  readonly #probeOrder: ProbeOrder<VmId>;
  readonly #deadProbeOrder: ProbeOrder<VmId>;
  readonly #sequence: Sequence;
  /** Monotonic times at which to check whether processes have exited, ms. */
  readonly #exitCheckDueMs = new Map<VmId, number>();
  readonly #handlers: Record<
    MembershipMessage['kind'],
    (message: MembershipMessage, from: FleetEndpoint) => void
  > = {
    probe: (message, from) => this.#sendReply('probe_response', message, from),
    probe_response: message => this.#handleResponse(message),
    indirect_probe: (message, from) => this.#probeForRequester(message, from),
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
    this.#deadProbeOrder = new ProbeOrder(random);
    this.#sequence = new Sequence(random.nextInt(INITIAL_SEQUENCE_BOUND));
    this.#majorityTracker = new MajorityTracker({
      table: this.table,
      clock,
      sequence: this.#sequence,
      send,
    });
    // A random delay, so that daemons started together do not probe together.
    const initialDelayMs = random.nextInt(PROBE_PERIOD_MS);
    this.#nextProbeMs = clock.monotonicMs() + initialDelayMs;
    this.#nextDeadProbeMs = clock.monotonicMs() + DEAD_PROBE_PERIOD_MS;
  }

  /** Whether a majority of the data centre responds. */
  get contact() {
    return this.#majorityTracker.contact;
  }

  /** Sends due messages and handles timeouts. */
  tick(): void {
    this.#options.checkPause();
    const {timeoutMultiplier} = this.#localHealth;
    this.#probes
      .takeDirectTimeouts(timeoutMultiplier)
      .forEach(probe => this.#probeIndirectly(probe));
    this.#probes.takeFailures(timeoutMultiplier).forEach(({vmId}) => {
      this.#localHealth.recordFailure();
      this.#suspect(vmId);
    });
    this.#expireSuspicions();
    this.#probeNext();
    this.#probeDead();
    this.#runDueExitChecks();
    this.#majorityTracker.tick();
  }

  /** Handles a message of a peer. */
  receive(message: DatagramMessage, from: FleetEndpoint): void {
    this.#options.checkPause();
    if (!('sender' in message)) {
      this.#majorityTracker.receive(message as ContactMessage, from);
      return;
    }
    this.#options.onPeerMessage(message.sender, message.manifestDigest);
    this.mergeRecord(message.sender);
    this.table.clearSuspicion(message.sender.vmId);
    message.updates.forEach(update => this.mergeRecord(update));
    this.#handlers[message.kind](message, from);
  }

  /** Merges a record that a peer reported about a member. */
  mergeRecord(record: MemberRecord): void {
    this.#options.onVersionSeen(record.vmId, record.configVersion);
    const wasDead = this.table.get(record.vmId)?.record.state === 'dead';
    const outcome = this.table.merge(record);
    if (outcome === 'refuted') {
      this.#publishSelf(record.state === 'dead');
    }
    if (outcome === 'changed') {
      this.#publishMember(record.vmId);
      if (wasDead) {
        // Other members that were cut off with it are probably reachable again.
        this.#nextDeadProbeMs = this.#options.clock.monotonicMs();
      }
    }
    if (outcome === 'refreshed') {
      this.#options.onChange();
    }
  }

  /** Announces that this daemon now serves calls. */
  startServing(): void {
    const servingSinceWallMs = this.#options.clock.wallMs();
    this.table.updateSelf({servingSinceWallMs}, true);
    this.#publishSelf(true);
  }

  /** Announces to every member by datagram that this daemon is leaving. */
  announceLeaving(): void {
    this.table.updateSelf({state: 'leaving'}, true);
    this.#publishSelf(true);
    this.#announceTo([...this.table.peers]);
  }

  /** Resends the announcement of `announceLeaving` in case it was lost. */
  resendAnnouncement(): void {
    this.#announceTo([...this.table.peers]);
  }

  /** Announces a new version of this VM to its witnesses. */
  announceVersion(): void {
    this.#announceTo(
      rendezvousOrder(
        this.table.self.vmId,
        [...this.table.peers],
        ({record}) => record.vmId,
      ).slice(0, VERSION_WITNESSES),
    );
  }

  /**
   * Treats all local observations as stale after a pause of this process, and
   * refutes reports that peers may have made about it in the meantime.
   */
  handlePause(): void {
    const nowMs = this.#options.clock.monotonicMs();
    this.#probes.clear();
    this.#majorityTracker.reset();
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
    const vmId = this.#probeOrder.next(this.#filterPeerIds(isNotDead));
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
    const vmId = this.#deadProbeOrder.next(
      this.#filterPeerIds(m => !isNotDead(m)),
    );
    const member = vmId && this.table.get(vmId);
    if (member) {
      this.#probe(member);
      if (!member.goneProved) {
        this.#exitCheckDueMs.set(vmId, nowMs);
      }
    }
  }

  #probe(member: TrackedMember, requester?: PendingProbe['requester']): void {
    const {vmId} = member.record;
    const seq = this.#sequence.next();
    this.#probes.add({seq, vmId, requester});
    this.#send('probe', seq, member.record);
  }

  #probeIndirectly({seq, vmId}: PendingProbe): void {
    const member = this.table.get(vmId);
    if (!member || !isNotDead(member)) {
      return;
    }
    this.#exitCheckDueMs.set(vmId, this.#options.clock.monotonicMs());
    const helperIds = this.#filterPeerIds(
      ({record}) => record.state === 'alive' && record.vmId !== vmId,
    );
    const {address, fleetPort} = member.record;
    const target = {vmId, address, fleetPort};
    shuffle([...helperIds], this.#options.random)
      .slice(0, INDIRECT_PROBE_HELPERS)
      .forEach(id => {
        this.#send('indirect_probe', seq, this.table.get(id)!.record, target);
      });
  }

  #suspect(vmId: VmId): void {
    this.#countProbe('failed');
    const member = this.table.get(vmId);
    if (member && isNotDead(member)) {
      if (this.table.suspect(vmId) === 'changed') {
        this.#publishMember(vmId);
      }
    }
  }

  #expireSuspicions(): void {
    const nowMs = this.#options.clock.monotonicMs();
    for (const member of [...this.table.peers]) {
      const ageMs = nowMs - (member.suspectSinceMs ?? nowMs);
      if (ageMs >= SUSPICION_TIMEOUT_MS * this.#localHealth.timeoutMultiplier) {
        this.#declareDead(member.record.vmId);
      } else if (ageMs >= UNRESPONSIVE_AFTER_MS && !member.isUnresponsive) {
        member.isUnresponsive = true;
        this.#options.onChange();
      }
    }
  }

  #declareDead(vmId: VmId): void {
    if (this.table.recordObservedState(vmId, 'dead') === 'changed') {
      this.#publishMember(vmId);
      this.#options.onUrgentUpdate(this.table.get(vmId)!.record);
    }
  }

  #runDueExitChecks(): void {
    const nowMs = this.#options.clock.monotonicMs();
    for (const [vmId, dueMs] of this.#exitCheckDueMs) {
      if (dueMs <= nowMs) {
        this.#exitCheckDueMs.delete(vmId);
        void this.#checkExit(vmId);
      }
    }
  }

  async #checkExit(vmId: VmId): Promise<void> {
    const record = this.table.get(vmId)?.record;
    const hasExited =
      record && (await this.#options.processExitCheck.hasExited(record));
    const latestRecord = this.table.get(vmId)?.record;
    if (!hasExited || latestRecord?.incarnation !== record.incarnation) {
      return;
    }
    this.#declareDead(vmId);
    this.table.markExited(vmId);
    this.#options.onChange();
  }

  #handleResponse(message: MembershipMessage): void {
    const probe = this.#probes.complete(message.seq, message.sender.vmId);
    if (!probe) {
      return;
    }
    this.#majorityTracker.recordResponse(probe.vmId);
    if (probe.requester) {
      const {endpoint, seq} = probe.requester;
      this.#send('indirect_response', seq, endpoint);
    } else {
      this.#localHealth.recordSuccess();
      this.#countProbe('direct');
    }
  }

  #handleIndirectResponse(message: MembershipMessage): void {
    if (this.#probes.complete(message.seq)) {
      this.#countProbe('indirect');
    }
  }

  #probeForRequester(message: MembershipMessage, from: FleetEndpoint): void {
    const target = message.target && this.table.get(message.target.vmId);
    if (target) {
      this.#probe(target, {endpoint: from, seq: message.seq});
    }
  }

  #sendReply(
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
    // With this record, the receiver can refute a false report about itself.
    const isReceiverNotAlive = receiver && receiver.state !== 'alive';
    const updates = this.#updateQueue
      .takeForMessage(this.table.size, isReceiverNotAlive ? [receiver] : [])
      .filter((record, index) => index === 0 || record.vmId !== receiver?.vmId);
    const sender = {...this.table.self, configVersion: version};
    const message = {kind, seq, sender, manifestDigest, updates, target};
    this.#options.send(to, message);
  }

  /**
   * Queues this daemon's record for gossip.
   *
   * @param isUrgent whether to broadcast it as well, because peers may act on
   *     an older record.
   */
  #publishSelf(isUrgent: boolean): void {
    this.#updateQueue.add(this.table.self);
    if (isUrgent) {
      this.#options.onUrgentUpdate(this.table.self);
    }
    this.#options.onChange();
  }

  #publishMember(vmId: VmId): void {
    const member = this.table.get(vmId);
    if (member) {
      this.#updateQueue.add(member.record);
      if (member.record.state === 'dead') {
        this.#scheduleExitCheck(vmId);
      }
    }
    this.#options.onChange();
  }

  #scheduleExitCheck(vmId: VmId): void {
    const {clock, random} = this.#options;
    const jitterMs = random.nextInt(EXIT_CHECK_JITTER_MS);
    this.#exitCheckDueMs.set(vmId, clock.monotonicMs() + jitterMs);
  }

  #filterPeerIds(predicate: (member: TrackedMember) => boolean): Set<VmId> {
    const matchingPeers = [...this.table.peers].filter(predicate);
    return new Set(matchingPeers.map(({record}) => record.vmId));
  }

  #countProbe(outcome: string): void {
    this.#options.metrics.increment('carobseam_probes_total', {outcome});
  }
}

function isNotDead({record}: TrackedMember): boolean {
  return record.state !== 'dead';
}
