import type {ConfigDelta} from '@carobseam/config.mesh';
import type {FeedResponse} from './feed_message.js';

const END_OF_OBJECT = Buffer.from('}');

/**
 * Encodes responses to the polls of peers. A delta that many followers get is
 * encoded only once.
 */
export class FeedEncoder {
  /** Encoded deltas; those that the state no longer keeps are collected. */
  readonly #encodedDeltas = new WeakMap<ConfigDelta, Buffer>();

  /** @return JSON in UTF-8. */
  encode(response: FeedResponse): Buffer {
    const {configDelta, ...others} = response;
    const text = JSON.stringify(others);
    if (!configDelta) {
      return Buffer.from(text);
    }
    return Buffer.concat([
      Buffer.from(`${text.slice(0, -1)},"configDelta":`),
      this.#encodeDelta(configDelta),
      END_OF_OBJECT,
    ]);
  }

  #encodeDelta(delta: ConfigDelta): Buffer {
    let encoded = this.#encodedDeltas.get(delta);
    if (!encoded) {
      encoded = Buffer.from(JSON.stringify(delta));
      this.#encodedDeltas.set(delta, encoded);
    }
    return encoded;
  }
}
