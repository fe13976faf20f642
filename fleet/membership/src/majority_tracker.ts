import type {MajorityContact} from '@carobseam/core.blackboard';
import type {Clock, VmId} from '@carobseam/core.types';
import type {ContactMessage, FleetEndpoint} from '@carobseam/fleet.types';
import type {MemberTable, TrackedMember} from './member_table.js';
import type {Sequence} from './sequence.js';

/** Options of a `MajorityTracker`. */
export interface MajorityTrackerOptions {
  table: MemberTable;
  clock: Clock;
  sequence: Sequence;
  send: (to: FleetEndpoint, message: ContactMessage) => void;
}

/** State of the exchange of contact messages with one peer. */
interface PeerContactState {
  /** Time of the last response, monotonic ms. */
  lastResponseMs: number;
  lastSentMs: number;
  /**
   * The last two sequence numbers sent. The peer's next message must echo one
   * of them. Two are kept because messages of both sides may cross.
   */
  recentSentSeqs: readonly number[];
  lastReceivedSeq: number;
}

/**
 * Age up to which a response counts. The guaranteed bound is 2 s; the result is
 * published every 100 ms, so a lower limit keeps it from being overstated.
 */
const MAX_RESPONSE_AGE_MS = 1900;
/** Age of the last response at which a new one is requested. */
const REFRESH_AGE_MS = 1250;
/** Age of the last response from which other peers are contacted instead. */
const REPLACEMENT_AGE_MS = 1650;
const MIN_RESEND_INTERVAL_MS = 250;
/** Extra peers to contact so that losing one causes no gap. */
const SPARE_PEERS = 2;

/**
 * Tracks whether this daemon can exchange messages with a majority of the
 * daemons in its data centre. Members form a ring ordered by id, and each
 * daemon sends contact messages to its successors only. A response is also a
 * request: the next contact message of the sender echoes the sequence number
 * of the response and thereby confirms it. This takes half as many messages as
 * if each daemon contacted a majority on its own.
 */
export class MajorityTracker {
  readonly #options: MajorityTrackerOptions;
  readonly #stateByPeer = new Map<VmId, PeerContactState>();
  #contact: MajorityContact = {majority: false, majoritySinceWallMs: 0};

  constructor(options: MajorityTrackerOptions) {
    this.#options = options;
  }

  /** Result of the last `tick` or `reset`. */
  get contact(): MajorityContact {
    return this.#contact;
  }

  /** Discards all responses, which are stale after a pause of this process. */
  reset(): void {
    this.#stateByPeer.clear();
    this.#setMajority(this.#hasMajority());
  }

  /** Requests new responses where the last ones are too old. */
  tick(): void {
    const ring = this.#getRing();
    const neededCount = this.#countNeeded();
    const contactedCount = Math.ceil(neededCount / 2) + SPARE_PEERS;
    ring
      .slice(0, contactedCount)
      .filter(
        peer => this.#getResponseAgeMs(peer.record.vmId) >= REFRESH_AGE_MS,
      )
      .forEach(peer => this.#requestContact(peer));
    const stalePeers = ring.filter(
      peer => this.#getResponseAgeMs(peer.record.vmId) >= REPLACEMENT_AGE_MS,
    );
    const missingCount = neededCount - (ring.length - stalePeers.length);
    if (missingCount > 0) {
      stalePeers
        .slice(0, missingCount + SPARE_PEERS)
        .forEach(peer => this.#requestContact(peer));
    }
    this.#setMajority(this.#hasMajority());
  }

  /** Handles a contact message or a response to one. */
  receive(message: ContactMessage, from: FleetEndpoint): void {
    const peer = this.#findPeer(from);
    if (!peer) {
      return;
    }
    const state = this.#getOrCreateState(peer.record.vmId);
    state.lastReceivedSeq = message.seq;
    if (state.recentSentSeqs.includes(message.echo)) {
      state.lastResponseMs = this.#options.clock.monotonicMs();
    }
    if (message.kind === 'contact') {
      this.#sendContact('contact_response', peer, state);
    }
  }

  /** Records a response to a probe, which also proves contact. */
  recordResponse(vmId: VmId): void {
    this.#getOrCreateState(vmId).lastResponseMs =
      this.#options.clock.monotonicMs();
  }

  #requestContact(peer: TrackedMember): void {
    const state = this.#getOrCreateState(peer.record.vmId);
    if (
      this.#options.clock.monotonicMs() - state.lastSentMs >=
      MIN_RESEND_INTERVAL_MS
    ) {
      this.#sendContact('contact', peer, state);
    }
  }

  #sendContact(
    kind: ContactMessage['kind'],
    peer: TrackedMember,
    state: PeerContactState,
  ): void {
    const seq = this.#options.sequence.next();
    state.recentSentSeqs = [seq, ...state.recentSentSeqs.slice(0, 1)];
    state.lastSentMs = this.#options.clock.monotonicMs();
    this.#options.send(peer.record, {
      kind,
      seq,
      echo: state.lastReceivedSeq,
    });
  }

  /** Peers that are not dead, in ring order, starting after this daemon. */
  #getRing(): TrackedMember[] {
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
   * Number of peers that form a majority together with this daemon. A dead
   * member counts until its VM leaves the platform's list, even if its process
   * has exited. Otherwise both sides of a partition could have a majority.
   */
  #countNeeded(): number {
    return Math.floor(this.#options.table.size / 2);
  }

  /** Returns false while neither a peer nor the platform's list is known. */
  #hasMajority(): boolean {
    const {table} = this.#options;
    const hasMemberData = table.size > 1 || table.hasVmList;
    return hasMemberData && this.#countResponsive() >= this.#countNeeded();
  }

  #countResponsive(): number {
    return [...this.#options.table.peers].filter(
      ({record}) => this.#getResponseAgeMs(record.vmId) < MAX_RESPONSE_AGE_MS,
    ).length;
  }

  #getResponseAgeMs(vmId: VmId): number {
    const lastResponseMs =
      this.#stateByPeer.get(vmId)?.lastResponseMs ?? -Infinity;
    return this.#options.clock.monotonicMs() - lastResponseMs;
  }

  #getOrCreateState(vmId: VmId): PeerContactState {
    const state = this.#stateByPeer.get(vmId) ?? {
      lastResponseMs: -Infinity,
      lastSentMs: -Infinity,
      recentSentSeqs: [],
      lastReceivedSeq: 0,
    };
    this.#stateByPeer.set(vmId, state);
    return state;
  }

  #findPeer({address, fleetPort}: FleetEndpoint): TrackedMember | undefined {
    for (const peer of this.#options.table.peers) {
      const {record} = peer;
      if (record.fleetPort === fleetPort && record.address === address) {
        return peer;
      }
    }
    return undefined;
  }

  #setMajority(majority: boolean): void {
    if (majority !== this.#contact.majority) {
      const majoritySinceWallMs = this.#options.clock.wallMs();
      this.#contact = {majority, majoritySinceWallMs};
    }
  }
}
