import {Packr} from 'msgpackr';
import {z} from 'zod';

const packr = new Packr({useRecords: false});

/** Envelope of a request; a message may contain several. */
const envelopeSchema = z.object({
  id: z.union([z.number(), z.string()]),
  method: z.enum(['query', 'mutation', 'subscription.stop']),
});
const messageSchema = z.union([
  envelopeSchema,
  z.array(envelopeSchema).max(64),
]);

/** Binary encoding of tRPC messages. */
export const linkEncoder = {
  encode(data: unknown): Uint8Array<ArrayBuffer> {
    return new Uint8Array(packr.pack(data));
  },
  decode(data: string | ArrayBuffer | Uint8Array): unknown {
    if (typeof data === 'string') {
      return JSON.parse(data);
    }
    return packr.unpack(new Uint8Array(data));
  },
};

/**
 * Creates the encoding for a server. tRPC replies to malformed messages without
 * reporting them, so this encoding calls `onMalformed`.
 */
export function createServerEncoder(onMalformed: () => void) {
  return {
    encode: linkEncoder.encode,
    decode(data: string | ArrayBuffer | Uint8Array): unknown {
      try {
        const message = linkEncoder.decode(data);
        messageSchema.parse(message);
        return message;
      } catch (error) {
        onMalformed();
        throw error;
      }
    },
  };
}
