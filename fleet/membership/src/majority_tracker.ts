import type {MajorityContact} from '@carobseam/core.blackboard';
import type {Clock, VmId} from '@carobseam/core.types';
import type {ContactMessage, FleetEndpoint} from '@carobseam/fleet.types';
import type {MemberTable, TrackedMember} from './member_table.js';
import type {Sequence} from './sequence.js';

/** Options of a `ContactTracker`. */
export interface MajorityTrackerOptions {
  table: MemberTable;
  clock: Clock;
  sequence: Sequence;
  send: (to: FleetEndpoint, message: ContactMessage) => void;
}

interface PeerContact {
  /** Time of the last response, monotonic ms. */
  respondedMs: number;
  sentMs: number;
  /**
   * The last two sequence numbers sent; the peer's next message has to echo
   * one of them. Two, because contacts of both sides may cross each other.
   */
  sentSeqs: readonly number[];
  receivedSeq: number;
}

// The bound is 2 s; the slot is written every 100 ms and must not overstate.
const FRESH_MS = 1900;
/** Age of a response at which the next one is requested. */
const REFRESH_MS = 1250;
/** Age from which other peers are asked in place of one that is silent. */
const REPLACE_MS = 1650;
const RESEND_MS = 250;
/** Peers beyond the needed ones, so that one lost peer makes no gap. */
const SPARE_PEERS = 2;

/**
 * Tells whether a majority of the data centre responds. Members form a ring by
 * id. Each one contacts the following ones, and a response also asks for the
 * sender's confirmation, which the next contact carries. So half as many
 * messages are sent as when each daemon asks a majority for itself.
 */
export class MajorityTracker {
  readonly #options: MajorityTrackerOptions;
  readonly #contacts = new Map<VmId, PeerContact>();
  #contact: MajorityContact = {majority: false, majoritySinceWallMs: 0};

  constructor(options: MajorityTrackerOptions) {
    this.#options = options;
  }

  /** State as of the last `tick`. */
  get contact(): MajorityContact {
    return this.#contact;
  }

  /** Forgets all responses, because this process was paused. */
  reset(): void {
    this.#contacts.clear();
    this.#update(this.#hasMajority());
  }

  /** Requests what gets too old. */
  tick(): void {
    const ring = this.#ring();
    const needed = this.#neededPeers();
    const followers = Math.ceil(needed / 2) + SPARE_PEERS;
    ring
      .slice(0, followers)
      .filter(peer => this.#ageMs(peer.record.vmId) >= REFRESH_MS)
      .forEach(peer => this.#request(peer));
    const silent = ring.filter(
      peer => this.#ageMs(peer.record.vmId) >= REPLACE_MS,
    );
    const missing = needed - (ring.length - silent.length);
    if (missing > 0) {
      silent
        .slice(0, missing + SPARE_PEERS)
        .forEach(peer => this.#request(peer));
    }
    this.#update(this.#hasMajority());
  }

  receive(message: ContactMessage, from: FleetEndpoint): void {
    const peer = this.#peerAt(from);
    if (!peer) {
      return;
    }
    const contact = this.#contactOf(peer.record.vmId);
    contact.receivedSeq = message.seq;
    if (contact.sentSeqs.includes(message.echo)) {
      contact.respondedMs = this.#options.clock.monotonicMs();
    }
    if (message.kind === 'contact') {
      this.#send('contact_response', peer, contact);
    }
  }

  /** Notes a response to a probe. */
  recordResponse(vmId: VmId): void {
    this.#contactOf(vmId).respondedMs = this.#options.clock.monotonicMs();
  }

  #request(peer: TrackedMember): void {
    const contact = this.#contactOf(peer.record.vmId);
    if (this.#options.clock.monotonicMs() - contact.sentMs >= RESEND_MS) {
      this.#send('contact', peer, contact);
    }
  }

  #send(
    kind: ContactMessage['kind'],
    peer: TrackedMember,
    contact: PeerContact,
  ): void {
    const seq = this.#options.sequence.next();
    contact.sentSeqs = [seq, ...contact.sentSeqs.slice(0, 1)];
    contact.sentMs = this.#options.clock.monotonicMs();
    this.#options.send(peer.record, {
      kind,
      seq,
      echo: contact.receivedSeq,
    });
  }

  /** Peers that are not dead, in ring order from this daemon on. */
  #ring(): TrackedMember[] {
    const {self, peers} = this.#options.table;
    const candidates = [...peers]
      .filter(({record}) => record.state !== 'dead')
      .sort((a, b) => (a.record.vmId < b.record.vmId ? -1 : 1));
    const start = candidates.findIndex(({record}) => record.vmId > self.vmId);
    return start < 0
      ? candidates
      : [...candidates.slice(start), ...candidates.slice(0, start)];
  }

  /**
   * Peers that make a majority together with this daemon. A dead member counts
   * until the platform's list drops its VM, also when its process is gone:
   * otherwise both sides of a partition could have a majority.
   */
  #neededPeers(): number {
    return Math.floor(this.#options.table.size / 2);
  }

  /** A daemon that knows neither a peer nor the list has no majority. */
  #hasMajority(): boolean {
    const {table} = this.#options;
    const isInformed = table.size > 1 || table.hasVmList;
    return isInformed && this.#freshPeers() >= this.#neededPeers();
  }

  #freshPeers(): number {
    return [...this.#options.table.peers].filter(
      ({record}) => this.#ageMs(record.vmId) < FRESH_MS,
    ).length;
  }

  #ageMs(vmId: VmId): number {
    const respondedMs = this.#contacts.get(vmId)?.respondedMs ?? -Infinity;
    return this.#options.clock.monotonicMs() - respondedMs;
  }

  #contactOf(vmId: VmId): PeerContact {
    const contact = this.#contacts.get(vmId) ?? {
      respondedMs: -Infinity,
      sentMs: -Infinity,
      sentSeqs: [],
      receivedSeq: 0,
    };
    this.#contacts.set(vmId, contact);
    return contact;
  }

  #peerAt({address, fleetPort}: FleetEndpoint): TrackedMember | undefined {
    for (const peer of this.#options.table.peers) {
      const {record} = peer;
      if (record.fleetPort === fleetPort && record.address === address) {
        return peer;
      }
    }
    return undefined;
  }

  #update(majority: boolean): void {
    if (majority !== this.#contact.majority) {
      const majoritySinceWallMs = this.#options.clock.wallMs();
      this.#contact = {majority, majoritySinceWallMs};
    }
  }
}
