import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ChangeFeed, ReaderRole} from './change_feed.js';
import {FeedEncoder} from './feed_encoder.js';
import {decodeFeedRequest, FEED_PATH, GZIP} from './feed_message.js';

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
    const [path, query] = (request.url ?? '').split('?');
    if (path !== FEED_PATH) {
      response.writeHead(404, ['Content-Length', '0']);
      response.end();
      return;
    }
    const {feed, role} = this.#options;
    const feedResponse = await feed.respond(
      decodeFeedRequest(new URLSearchParams(query)),
      role,
    );
    const acceptsGzip = request.headers['accept-encoding'] === GZIP;
    const {body, isCompressed} = this.#encoder.encode(
      feedResponse,
      acceptsGzip,
    );
    response.setHeader('Content-Length', body.length);
    if (isCompressed) {
      response.setHeader('Content-Encoding', GZIP);
    }
    response.end(body);
  }
}
