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

// Values are positional and kinds and states are numbers, because field names
// would take half of a message.
const record = memberRecordSchema.shape;
const states = memberStateSchema.options;
const seqSchema = z.number().int().min(0).max(MAX_SEQ);

const recordTupleSchema = z.tuple([
  record.vmId,
  record.service,
  record.address,
  record.fleetPort,
  record.callersPort,
  record.incarnation,
  z
    .number()
    .int()
    .min(0)
    .max(states.length - 1),
  record.servingSinceWallMs,
  record.configVersion,
]);

const stateTupleSchema = z.tuple([
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
  z.tuple([vmIdSchema, record.address, record.fleetPort]).nullable(),
]);

const FIRST_CONTACT_KIND = membershipMessageKinds.length;
const LAST_KIND = FIRST_CONTACT_KIND + contactMessageKinds.length - 1;

const contactTupleSchema = z.tuple([
  z.number().int().min(FIRST_CONTACT_KIND).max(LAST_KIND),
  seqSchema,
  seqSchema,
]);

const messageTupleSchema = z.union([contactTupleSchema, stateTupleSchema]);

type RecordTuple = z.output<typeof recordTupleSchema>;
type StateTuple = z.output<typeof stateTupleSchema>;

const packr = new Packr({useRecords: false});

/** Encodes a message for one datagram, without its seal. */
export function encodeDatagram(message: DatagramMessage): Uint8Array {
  return packr.pack(
    isContact(message)
      ? [
          FIRST_CONTACT_KIND + contactMessageKinds.indexOf(message.kind),
          message.seq,
          message.echo,
        ]
      : toStateTuple(message),
  );
}

/** Decodes and checks a message; undefined when it is malformed. */
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
  return fromStateTuple(tuple);
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

function toStateTuple(message: MembershipMessage): unknown[] {
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

function fromStateTuple(tuple: StateTuple): MembershipMessage {
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
    states.indexOf(member.state),
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
    state: states[tuple[6]]!,
    servingSinceWallMs: tuple[7],
    configVersion: tuple[8],
  };
}

function isDigestBytes(value: unknown): boolean {
  return value instanceof Uint8Array && value.length === 16;
}
