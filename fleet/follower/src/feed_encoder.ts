import type {ConfigDelta, MeshConfig} from '@carobseam/config.mesh';
import {constants, gzipSync} from 'node:zlib';
import type {FeedResponse} from './feed_message.js';

const MIN_COMPRESSED_BYTES = 1024; // a shorter response fits into one packet
const GZIP_OPTIONS = {level: constants.Z_BEST_SPEED}; // higher levels save 1% of a delta
const END_OF_OBJECT = '}';

/** An encoded response. */
export interface EncodedFeedResponse {
  body: Buffer;
  isCompressed: boolean;
}

/** Encodes text as part of a body. */
type EncodePart = (text: string) => Buffer;

const encodePlain: EncodePart = text => Buffer.from(text);
/** A gzip stream may consist of several members, each compressed by itself. */
const encodeCompressed: EncodePart = text => gzipSync(text, GZIP_OPTIONS);

/**
 * Encodes responses to the polls of peers. A delta or a configuration that many
 * followers get is encoded only once.
 */
export class FeedEncoder {
  /** Encoded parts; those that the state no longer keeps are collected. */
  readonly #plainParts: EncodedParts = new WeakMap();
  readonly #compressedParts: EncodedParts = new WeakMap();

  /**
   * @param acceptsGzip whether the requester can decompress the body.
   * @return JSON in UTF-8, compressed where that is worth the processor time.
   */
  encode(response: FeedResponse, acceptsGzip: boolean): EncodedFeedResponse {
    const {config, configDelta, ...others} = response;
    const text = JSON.stringify(others);
    const isCompressed =
      acceptsGzip &&
      (config !== undefined ||
        configDelta !== undefined ||
        text.length >= MIN_COMPRESSED_BYTES);
    const encodePart = isCompressed ? encodeCompressed : encodePlain;
    const encodedParts = isCompressed
      ? this.#compressedParts
      : this.#plainParts;
    const parts: Buffer[] = [];
    for (const [name, value] of Object.entries({config, configDelta})) {
      if (value) {
        const member = () => `,"${name}":${JSON.stringify(value)}`;
        parts.push(encodeOnce(encodedParts, value, () => encodePart(member())));
      }
    }
    const body =
      parts.length === 0
        ? encodePart(text)
        : Buffer.concat([
            encodePart(text.slice(0, -END_OF_OBJECT.length)),
            ...parts,
            encodePart(END_OF_OBJECT),
          ]);
    return {body, isCompressed};
  }
}

type EncodedParts = WeakMap<MeshConfig | ConfigDelta, Buffer>;

function encodeOnce(
  encodedParts: EncodedParts,
  value: MeshConfig | ConfigDelta,
  encode: () => Buffer,
): Buffer {
  const encoded = encodedParts.get(value) ?? encode();
  encodedParts.set(value, encoded);
  return encoded;
}
