import {z} from 'zod';
import {crashMarkSchema} from './crash_mark.js';
import {memberRecordSchema} from './member_record.js';

/** Urgent notices that are broadcast to the daemons of a data centre. */
export const noticeSchema = z.discriminatedUnion('kind', [
  z.strictObject({kind: z.literal('member'), record: memberRecordSchema}),
  z.strictObject({kind: z.literal('crash_mark'), mark: crashMarkSchema}),
  z.strictObject({
    kind: z.literal('crash_mark_cleared'),
    fingerprint: z.string().max(32),
  }),
]);

/** A change that every daemon of the data centre should receive at once. */
export type Notice = z.output<typeof noticeSchema>;

/** Sends notices to every other daemon of the data centre. */
export interface NoticeBroadcaster {
  broadcast(notice: Notice): void;
}
