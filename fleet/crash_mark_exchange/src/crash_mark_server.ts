import type {IncomingMessage, ServerResponse} from 'node:http';
import type {CrashMarkExchange} from './crash_mark_exchange.js';
import {decodeMarkNotice} from './mark_notice.js';

const MAX_NOTICE_BYTES = 1024 * 1024; // several times the marks of one crash

/** Responds to the messages of `CrashMarkClient`. */
export class CrashMarkServer {
  readonly #exchange: CrashMarkExchange;

  constructor(exchange: CrashMarkExchange) {
    this.#exchange = exchange;
  }

  /** Handles one request to `CRASH_MARK_PATH` of the control address. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.method === 'GET') {
      response.end(JSON.stringify(this.#exchange.list()));
      return;
    }
    const chunks: Buffer[] = [];
    let bytes = 0;
    try {
      for await (const chunk of request as AsyncIterable<Buffer>) {
        bytes += chunk.length;
        if (bytes > MAX_NOTICE_BYTES) {
          response.writeHead(413, ['Connection', 'close']);
          response.end();
          return;
        }
        chunks.push(chunk);
      }
    } catch {
      return; // the sender has left, and sends the notice again
    }
    const notice = decodeMarkNotice(Buffer.concat(chunks).toString('utf8'));
    if (notice) {
      this.#exchange.receive(notice);
    }
    response.writeHead(notice ? 204 : 400);
    response.end();
  }
}
