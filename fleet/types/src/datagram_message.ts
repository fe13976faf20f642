import type {Digest, VmId} from '@carobseam/core.types';
import type {FleetEndpoint} from './fleet_endpoint.js';
import type {MemberRecord} from './member_record.js';

/** Kinds of messages of the failure detector and membership protocol. */
export const membershipMessageKinds = [
  /** Asks for a `probe_response` with the same sequence number. */
  'probe',
  'probe_response',
  /** Asks the receiver to probe a third daemon. */
  'indirect_probe',
  /** Reports that the third daemon responded. */
  'indirect_response',
  /** Sends the record and updates only; no response is expected. */
  'announcement',
] as const;

/** Kinds of the small messages that only confirm that a daemon is reachable. */
export const contactMessageKinds = ['contact', 'contact_response'] as const;

/** A daemon that is to be probed on behalf of another one. */
export interface ProbeTarget extends FleetEndpoint {
  readonly vmId: VmId;
}

/** Message of the membership protocol between daemons of one data centre. */
export interface MembershipMessage {
  readonly kind: (typeof membershipMessageKinds)[number];
  readonly seq: number;
  readonly sender: MemberRecord;
  /** Digest of the sender's manifest, absent before its first version. */
  readonly manifestDigest?: Digest;
  /** Records of other members, sent along as gossip. */
  readonly updates: readonly MemberRecord[];
  /** Daemon to probe; only in an `indirect_probe`. */
  readonly target?: ProbeTarget;
}

/** Confirms that datagrams arrive in both directions between two daemons. */
export interface ContactMessage {
  readonly kind: (typeof contactMessageKinds)[number];
  readonly seq: number;
  /** Sequence number of the message that this one responds to, 0 for none. */
  readonly echo: number;
}

/** Any message that daemons send as a datagram. */
export type DatagramMessage = MembershipMessage | ContactMessage;

/** Largest sequence number; 0 is never used. */
export const MAX_SEQ = 0xffff;

/** Largest number of updates in one message. */
export const MAX_UPDATES = 8;

/** Value of `servingSinceWallMs` for a daemon that does not serve calls yet. */
export const NOT_SERVING_WALL_MS = Number.MAX_SAFE_INTEGER;
