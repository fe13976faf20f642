import {httpGet} from '@carobseam/core.http_get';
import http from 'node:http';
import {gunzipSync} from 'node:zlib';
import {
  encodeFeedRequest,
  FEED_PATH,
  GZIP,
  type FeedRequest,
  type FeedResponse,
} from './feed_message.js';

const RESPONSE_TIMEOUT_MS = 600; // a peer under load responds within a few iterations of its event loop
const FULL_STATE_TIMEOUT_MS = 3000; // a full state of 300 kB over a link of 3.5 Mbit/s that other transfers share
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024; // several times the largest configuration

/** Polls the change feeds of peers over keep-alive connections. */
export class FeedClient {
  readonly #agent = new http.Agent({keepAlive: true, maxSockets: 1});

  /**
   * Sends one poll and returns the response.
   *
   * @param address control address of the peer.
   * @param onProgress called when a part of the response has arrived.
   * @throws Error when the peer does not respond in time or its response cannot be
   *     decoded.
   */
  async fetch(
    address: string,
    request: FeedRequest,
    onProgress?: () => void,
  ): Promise<FeedResponse> {
    const startMs = performance.now();
    const {status, headers, body} = await httpGet({
      address,
      path: `${FEED_PATH}?${encodeFeedRequest(request)}`,
      agent: this.#agent,
      headers: {'Accept-Encoding': GZIP},
      timeoutMs:
        request.waitMs +
        (request.acceptsWhole ? FULL_STATE_TIMEOUT_MS : RESPONSE_TIMEOUT_MS),
      maxBytes: MAX_RESPONSE_BYTES,
      onProgress,
    });
    if (status !== 200) {
      throw new Error(`peer ${address} responded with status ${status}`);
    }
    const isCompressed = headers['content-encoding'] === GZIP;
    const json = isCompressed
      ? gunzipSync(body, {maxOutputLength: MAX_RESPONSE_BYTES})
      : body;
    const response = JSON.parse(json.toString('utf8')) as FeedResponse;
    const durationMs = Math.round(performance.now() - startMs);
    const transferMs = Math.max(0, durationMs - (response.heldMs ?? 0));
    const configAgeMs = (response.configAgeMs ?? 0) + transferMs;
    return {...response, transferMs, configAgeMs};
  }

  close(): void {
    this.#agent.destroy();
  }
}
