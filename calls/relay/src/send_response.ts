import type {ExchangeResponse} from '@carobseam/calls.exchange';
import type {ServerResponse} from 'node:http';
import {Readable} from 'node:stream';
import {forwardedHeaders} from './forwarded_headers.js';
import {hopHeaders} from './hop_message.js';

const EXCLUDED_HEADERS = new Set<string>([
  hopHeaders.response,
  hopHeaders.statement,
]);

/**
 * Forwards a received response. When its streamed body ends early, the
 * receiver's connection is closed too, so that a truncated body does not look
 * complete.
 *
 * @param extraHeaders further headers, alternating names and values.
 */
export function sendResponse(
  receiver: ServerResponse,
  response: ExchangeResponse,
  extraHeaders: readonly string[],
): void {
  const headers = forwardedHeaders(response.headers, EXCLUDED_HEADERS);
  headers.push(...extraHeaders);
  if (response.body instanceof Readable) {
    const {body} = response;
    if (body.destroyed) {
      receiver.destroy();
      return;
    }
    receiver.writeHead(response.status, headers);
    body.on('error', () => breakOff(receiver));
    receiver.on('close', () => body.destroy());
    body.pipe(receiver);
    return;
  }
  if (response.status !== 204 && response.status !== 304) {
    headers.push('Content-Length', String(response.body.length));
  }
  receiver.writeHead(response.status, headers);
  receiver.end(response.body);
}

/**
 * Ends a response that is incomplete. If only the end of the connection
 * delimits its body, as for HTTP/1.0, a reset shows that it is incomplete.
 */
export function breakOff(receiver: ServerResponse): void {
  if (receiver.headersSent && !receiver.chunkedEncoding) {
    receiver.socket?.resetAndDestroy();
  }
  receiver.destroy();
}
