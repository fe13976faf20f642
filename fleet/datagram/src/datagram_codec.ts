import {dataCentreNameSchema, vmIdSchema} from '@carobseam/core.types';
import type {DataCentreName, Digest} from '@carobseam/core.types';
import {
  contactMessageKinds,
  MAX_SEQ,
  MAX_UPDATES,
  memberRecordSchema,
  memberStateSchema,
  membershipMessageKinds,
  type ContactMessage,
  type DatagramMessage,
  type MemberRecord,
  type MembershipMessage,
} from '@carobseam/fleet.types';
import {Packr} from 'msgpackr';
import {z} from 'zod';

// Messages are encoded as arrays with positional values, and kinds and states
// as numbers, because field names would take half of a message.
const recordShape = memberRecordSchema.shape;
const memberStates = memberStateSchema.options;
const seqSchema = z.number().int().min(0).max(MAX_SEQ);

const recordTupleSchema = z.tuple([
  recordShape.vmId,
  recordShape.service,
  recordShape.address,
  recordShape.fleetPort,
  recordShape.callersPort,
  recordShape.incarnation,
  z
    .number()
    .int()
    .min(0)
    .max(memberStates.length - 1),
  recordShape.servingSinceWallMs,
  recordShape.configVersion,
]);

const membershipTupleSchema = z.tuple([
  z
    .number()
    .int()
    .min(0)
    .max(membershipMessageKinds.length - 1),
  seqSchema,
  dataCentreNameSchema,
  recordTupleSchema,
  z.custom<Uint8Array>(isDigestBytes).nullable(),
  z.array(recordTupleSchema).max(MAX_UPDATES),
  z.tuple([vmIdSchema, recordShape.address, recordShape.fleetPort]).nullable(),
]);

const FIRST_CONTACT_KIND = membershipMessageKinds.length;
const LAST_KIND = FIRST_CONTACT_KIND + contactMessageKinds.length - 1;

const contactTupleSchema = z.tuple([
  z.number().int().min(FIRST_CONTACT_KIND).max(LAST_KIND),
  seqSchema,
  seqSchema,
]);

const messageTupleSchema = z.union([contactTupleSchema, membershipTupleSchema]);

type RecordTuple = z.output<typeof recordTupleSchema>;
type MembershipTuple = z.output<typeof membershipTupleSchema>;

const packr = new Packr({useRecords: false});

/** Encodes a message for one datagram, without the authentication header. */
export function encodeDatagram(message: DatagramMessage): Uint8Array {
  return packr.pack(
    isContact(message)
      ? [
          FIRST_CONTACT_KIND + contactMessageKinds.indexOf(message.kind),
          message.seq,
          message.echo,
        ]
      : toMembershipTuple(message),
  );
}

/** Decodes and validates a message. Returns undefined if it is malformed. */
export function decodeDatagram(bytes: Uint8Array): DatagramMessage | undefined {
  const result = messageTupleSchema.safeParse(unpack(bytes));
  if (!result.success) {
    return undefined;
  }
  const tuple = result.data;
  if (tuple.length === 3) {
    const [kind, seq, echo] = tuple;
    return {kind: contactMessageKinds[kind - FIRST_CONTACT_KIND]!, seq, echo};
  }
  return fromMembershipTuple(tuple);
}

function unpack(bytes: Uint8Array): unknown {
  try {
    return packr.unpack(bytes);
  } catch {
    return undefined;
  }
}

function isContact(message: DatagramMessage): message is ContactMessage {
  return (contactMessageKinds as readonly string[]).includes(message.kind);
}

function toMembershipTuple(message: MembershipMessage): unknown[] {
  const {kind, seq, sender, manifestDigest, updates, target} = message;
  return [
    membershipMessageKinds.indexOf(kind),
    seq,
    sender.dataCentre,
    toRecordTuple(sender),
    manifestDigest ? Buffer.from(manifestDigest, 'hex') : null,
    updates.map(toRecordTuple),
    target ? [target.vmId, target.address, target.fleetPort] : null,
  ];
}

function fromMembershipTuple(tuple: MembershipTuple): MembershipMessage {
  const [kind, seq, dataCentre, sender, digest, updates, target] = tuple;
  return {
    kind: membershipMessageKinds[kind]!,
    seq,
    sender: fromRecordTuple(sender, dataCentre),
    ...(digest && {
      manifestDigest: Buffer.from(digest).toString('hex') as Digest,
    }),
    updates: updates.map(update => fromRecordTuple(update, dataCentre)),
    ...(target && {
      target: {vmId: target[0], address: target[1], fleetPort: target[2]},
    }),
  };
}

function toRecordTuple(member: MemberRecord): RecordTuple {
  return [
    member.vmId,
    member.service,
    member.address,
    member.fleetPort,
    member.callersPort,
    member.incarnation,
    memberStates.indexOf(member.state),
    member.servingSinceWallMs,
    member.configVersion,
  ];
}

function fromRecordTuple(
  tuple: RecordTuple,
  dataCentre: DataCentreName,
): MemberRecord {
  return {
    vmId: tuple[0],
    dataCentre,
    service: tuple[1],
    address: tuple[2],
    fleetPort: tuple[3],
    callersPort: tuple[4],
    incarnation: tuple[5],
    state: memberStates[tuple[6]]!,
    servingSinceWallMs: tuple[7],
    configVersion: tuple[8],
  };
}

function isDigestBytes(value: unknown): boolean {
  return value instanceof Uint8Array && value.length === 16;
}
