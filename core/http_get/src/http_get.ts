import {splitAddress} from '@carobseam/core.net';
import http from 'node:http';

const MAX_INTERIM_RESPONSES = 100; // the servers that are read send none

/** Options of `httpGet`. */
export interface HttpGetOptions {
  /** IP address and port. */
  address: string;
  path: string;
  headers?: http.OutgoingHttpHeaders;
  /** Agent that reuses connections; each call opens a new one by default. */
  agent?: http.Agent;
  /** Timeout for the complete response, in ms. */
  timeoutMs: number;
  maxBytes: number;
}

/** A complete response. */
export interface HttpGetResult {
  status: number;
  headers: http.IncomingHttpHeaders;
  body: Buffer;
}

/**
 * Sends a GET request and reads the complete response. If this fails, the
 * connection is closed.
 *
 * @throws Error if the response is late, incomplete or too large.
 */
export function httpGet(options: HttpGetOptions): Promise<HttpGetResult> {
  const {path, headers, agent = false, timeoutMs, maxBytes} = options;
  const {host, port} = splitAddress(options.address);
  return new Promise((resolve, reject) => {
    let isComplete = false;
    const fail = (error: Error) => {
      clearTimeout(timer);
      request.destroy();
      reject(error);
    };
    const request = http.get({host, port, path, headers, agent}, response => {
      const chunks: Buffer[] = [];
      let bytes = 0;
      response.on('data', (chunk: Buffer) => {
        bytes += chunk.length;
        chunks.push(chunk);
        if (bytes > maxBytes) {
          fail(new Error(`response exceeds ${maxBytes} bytes`));
        }
      });
      response.on('end', () => {
        isComplete = true;
        clearTimeout(timer);
        const status = response.statusCode ?? 0;
        const body = Buffer.concat(chunks);
        resolve({status, headers: response.headers, body});
      });
      response.on('error', fail);
      response.on('aborted', () => fail(new Error('response was incomplete')));
    });
    const handleTimeout = () => {
      if (!isComplete) {
        fail(new Error(`no response within ${timeoutMs} ms`));
      }
    };
    // After a delay of the event loop, timers run before sockets are read.
    const timer = setTimeout(() => setImmediate(handleTimeout), timeoutMs);
    request.on('error', fail);
    let interimResponses = 0;
    request.on('information', () => {
      interimResponses++;
      if (interimResponses > MAX_INTERIM_RESPONSES) {
        fail(new Error(`more than ${MAX_INTERIM_RESPONSES} interim responses`));
      }
    });
  });
}
