import {Readable} from 'node:stream';
import type {ExchangeRequest} from './exchange_types.js';

/** Encodes the head of a request that is written now, with the empty line. */
export function encodeRequestHead(request: ExchangeRequest): string {
  const {method, url, body} = request;
  const headers =
    typeof request.headers === 'function' ? request.headers() : request.headers;
  const lines = [`${method} ${url} HTTP/1.1`];
  for (let index = 0; index < headers.length; index += 2) {
    lines.push(`${headers[index]}: ${headers[index + 1]}`);
  }
  if (body instanceof Readable) {
    lines.push('Transfer-Encoding: chunked');
  } else if (body.length > 0 || hasBodyByDefault(method)) {
    lines.push(`Content-Length: ${body.length}`);
  }
  return `${lines.join('\r\n')}\r\n\r\n`;
}

function hasBodyByDefault(method: string): boolean {
  return method === 'POST' || method === 'PUT' || method === 'PATCH';
}
