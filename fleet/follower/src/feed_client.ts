import {httpGet} from '@carobseam/core.http_get';
import http from 'node:http';
import {
  encodeFeedRequest,
  FEED_PATH,
  type FeedResponse,
  type FeedRequest,
} from './feed_message.js';

const ANSWER_MS = 600; // a peer under load answers within a few turns of its loop
const WHOLE_MS = 3000; // a whole state of 300 kB over a link of 3.5 Mbit/s, with others beside it
const MAX_BYTES = 16 * 1024 * 1024; // several of the largest configurations

/** Asks peers for changes, over kept connections. */
export class FeedClient {
  readonly #agent = new http.Agent({keepAlive: true, maxSockets: 1});

  /**
   * @param address control address of the peer.
   * @throws Error when the peer does not answer in time.
   */
  async fetch(address: string, request: FeedRequest): Promise<FeedResponse> {
    const {status, body} = await httpGet({
      address,
      path: `${FEED_PATH}?${encodeFeedRequest(request)}`,
      agent: this.#agent,
      timeoutMs: request.waitMs + (request.acceptsWhole ? WHOLE_MS : ANSWER_MS),
      maxBytes: MAX_BYTES,
    });
    if (status !== 200) {
      throw new Error(`peer ${address} answered with status ${status}`);
    }
    return JSON.parse(body.toString('utf8')) as FeedResponse;
  }

  close(): void {
    this.#agent.destroy();
  }
}
