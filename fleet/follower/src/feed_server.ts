import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ChangeFeed, ReaderRole} from './change_feed.js';
import {FeedEncoder} from './feed_encoder.js';
import {decodeFeedRequest, FEED_PATH} from './feed_message.js';

/** Options of `FeedServer`. */
export interface FeedServerOptions {
  feed: ChangeFeed;
  /** Returns the current role of this relay. */
  role: () => ReaderRole;
}

/** Responds to the polls of peers over HTTP. */
export class FeedServer {
  readonly #options: FeedServerOptions;
  readonly #encoder = new FeedEncoder();

  constructor(options: FeedServerOptions) {
    this.#options = options;
  }

  /** Handles one request to the control address. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://relay');
    if (url.pathname !== FEED_PATH) {
      response.writeHead(404, ['Content-Length', '0']);
      response.end();
      return;
    }
    const {feed, role} = this.#options;
    const body = this.#encoder.encode(
      await feed.respond(decodeFeedRequest(url.searchParams), role),
    );
    response.setHeader('Content-Length', body.length);
    response.end(body);
  }
}
