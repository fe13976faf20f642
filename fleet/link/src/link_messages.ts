import {
  dataCentreNameSchema,
  digestSchema,
  vmIdSchema,
} from '@carobseam/core.types';
import {memberRecordSchema, noticeSchema} from '@carobseam/fleet.types';
import {z} from 'zod';

/** Maximum size of a message on a link. */
export const MAX_LINK_MESSAGE_BYTES = 4_000_000;

const bytesSchema = z.custom<Uint8Array>(value => value instanceof Uint8Array);

/** An encoded delta that is pushed to a peer. */
export const pushRequestSchema = z.strictObject({
  senderId: z.string().max(64),
  bytes: bytesSchema,
});

/** What the receiver did with a pushed delta. */
export const pushReplySchema = z.strictObject({
  outcome: z.enum(['applied', 'held', 'needs_pull', 'rejected']),
});

/** Requests a peer's version if it is newer than the held one. */
export const pullRequestSchema = z.strictObject({
  /** Digest of the manifest that the requesting daemon holds. */
  heldDigest: digestSchema.optional(),
  heldVersion: z.number().int().nonnegative(),
});

/** The peer's version, or why it is not sent. */
export const pullReplySchema = z.discriminatedUnion('outcome', [
  z.strictObject({outcome: z.literal('delta'), bytes: bytesSchema}),
  z.strictObject({outcome: z.literal('nothing_newer')}),
  z.strictObject({
    outcome: z.literal('busy'),
    retryAfterMs: z.number().nonnegative(),
  }),
]);

/** Announces the version that the sender holds, without its contents. */
export const announceRequestSchema = z.strictObject({
  senderId: z.string().max(64),
  version: z.number().int().nonnegative(),
  digest: digestSchema.optional(),
});

/** The version that the receiver held when the announcement arrived. */
export const announceReplySchema = z.strictObject({
  version: z.number().int().nonnegative(),
  digest: digestSchema.optional(),
});

/** The platform's list of VMs, or a difference, forwarded along the tree. */
export const vmListRequestSchema = z.strictObject({
  senderId: z.string().max(64),
  bytes: bytesSchema,
});

/** What the receiver did with the list of VMs. */
export const vmListReplySchema = z.strictObject({
  outcome: z.enum(['applied', 'held', 'needs_full', 'rejected']),
});

const identifiedNoticeSchema = z.strictObject({
  /** Identifies the notice, so that each daemon forwards it only once. */
  noticeId: z.string().max(160),
  notice: noticeSchema,
});

/** Maximum number of notices in one request. */
export const MAX_NOTICES_PER_REQUEST = 100;

/** Notices (broadcasts of urgent changes) forwarded along the tree. */
export const notifyRequestSchema = z.strictObject({
  senderId: z.string().max(64),
  notices: z.array(identifiedNoticeSchema).max(MAX_NOTICES_PER_REQUEST),
});

/** Requests the state of a daemon. */
export const peerStateRequestSchema = z.strictObject({
  vmId: vmIdSchema,
  dataCentre: dataCentreNameSchema,
  /** Whether the reply includes the members of the data centre. */
  includeMembers: z.boolean(),
});

/** Membership and version of a daemon. */
export const peerStateSchema = z.strictObject({
  vmId: vmIdSchema,
  version: z.number().int().nonnegative(),
  manifestDigest: digestSchema.optional(),
  /** Highest version that the peer has seen at any daemon. */
  highestSeenVersion: z.number().int().nonnegative(),
  /** Last version that the peer saw at the requesting VM, 0 for none. */
  lastVersionOfAsker: z.number().int().nonnegative(),
  /** Members of the data centre; empty for other data centres. */
  members: z.array(memberRecordSchema).max(5000),
});

/** A signed delta that is pushed along the tree. */
export type PushRequest = z.output<typeof pushRequestSchema>;
/** What the receiver did with a pushed delta. */
export type PushReply = z.output<typeof pushReplySchema>;
/** Requests a newer version than the held one. */
export type PullRequest = z.output<typeof pullRequestSchema>;
/** A delta, nothing newer, or the time after which to retry. */
export type PullReply = z.output<typeof pullReplySchema>;
/** A notice with its id. */
export type IdentifiedNotice = z.output<typeof identifiedNoticeSchema>;
/** Notices that one daemon forwards. */
export type NotifyRequest = z.output<typeof notifyRequestSchema>;
/** Requests the versions and members that a peer knows. */
export type PeerStateRequest = z.output<typeof peerStateRequestSchema>;
/** The versions and members that a peer knows. */
export type PeerState = z.output<typeof peerStateSchema>;
/** The version that the sender holds. */
export type AnnounceRequest = z.output<typeof announceRequestSchema>;
/** The version that the receiver holds. */
export type AnnounceReply = z.output<typeof announceReplySchema>;
/** A signed list of VMs, or its difference from an earlier list. */
export type VmListRequest = z.output<typeof vmListRequestSchema>;
/** What the receiver did with a list of VMs. */
export type VmListReply = z.output<typeof vmListReplySchema>;
