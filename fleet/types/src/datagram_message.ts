import type {Digest, VmId} from '@carobseam/core.types';
import type {FleetEndpoint} from './fleet_endpoint.js';
import type {MemberRecord} from './member_record.js';

/** Kinds of messages that carry the sender's record and updates. */
export const membershipMessageKinds = [
  /** Asks for a `probe_response` with the same sequence number. */
  'probe',
  'probe_response',
  /** Asks the receiver to probe a third daemon. */
  'indirect_probe',
  /** Tells that the third daemon responded. */
  'indirect_response',
  /** Needs no response. */
  'announcement',
] as const;

/** Kinds of the small messages that only confirm reachability. */
export const contactMessageKinds = ['contact', 'contact_response'] as const;

/** A daemon that is to be probed on behalf of another one. */
export interface ProbeTarget extends FleetEndpoint {
  readonly vmId: VmId;
}

/** Membership message between daemons of one data centre. */
export interface MembershipMessage {
  readonly kind: (typeof membershipMessageKinds)[number];
  readonly seq: number;
  readonly sender: MemberRecord;
  /** Digest of the sender's manifest, absent before its first version. */
  readonly manifestDigest?: Digest;
  readonly updates: readonly MemberRecord[];
  readonly target?: ProbeTarget;
}

/** Confirms that both directions between two daemons work. */
export interface ContactMessage {
  readonly kind: (typeof contactMessageKinds)[number];
  readonly seq: number;
  /** Sequence number of the last message that is answered, 0 for none. */
  readonly echo: number;
}

/** Any message that daemons exchange as a datagram. */
export type DatagramMessage = MembershipMessage | ContactMessage;

/** Largest sequence number; 0 is never used. */
export const MAX_SEQ = 0xffff;

/** Largest number of updates in one message. */
export const MAX_UPDATES = 8;

/** `servingSinceWallMs` of a daemon that does not serve calls yet. */
export const NOT_SERVING_WALL_MS = Number.MAX_SAFE_INTEGER;
