import {splitAddress} from '@carobseam/core.net';
import http from 'node:http';

const MAX_INTERIM_RESPONSES = 100; // the servers that are read send none
/** Longest pause in a response before it fails, in ms. */
export const MAX_PAUSE_MS = 1000; // a link on which packets wait for half a second still delivers some
const MAX_TRANSFER_MS = 10_000; // 2 MB over a half used link of 3.5 Mbit/s

/** Options of `httpGet`. */
export interface HttpGetOptions {
  /** IP address and port. */
  address: string;
  path: string;
  headers?: http.OutgoingHttpHeaders;
  /** Body of a POST request; without it, a GET request is sent. */
  body?: string;
  /** Agent that reuses connections; each call opens a new one by default. */
  agent?: http.Agent;
  /**
   * Timeout until the response begins, in ms. After that, the response may take
   * as long as its size requires, if it arrives without long pauses.
   */
  timeoutMs: number;
  maxBytes: number;
  /** Called when a part of the response has arrived. */
  onProgress?: () => void;
}

/** A complete response. */
export interface HttpGetResult {
  status: number;
  headers: http.IncomingHttpHeaders;
  body: Buffer;
}

/**
 * Sends a GET or POST request and reads the complete response. If this fails,
 * the connection is closed.
 *
 * @throws Error if the response begins late, pauses for more than a second, takes
 *     more than 10 seconds, is incomplete or is too large.
 */
export function httpGet(options: HttpGetOptions): Promise<HttpGetResult> {
  const {path, headers, body, agent = false, timeoutMs, maxBytes} = options;
  const method = body === undefined ? 'GET' : 'POST';
  const {host, port} = splitAddress(options.address);
  return new Promise((resolve, reject) => {
    let isComplete = false;
    let timer: NodeJS.Timeout;
    const fail = (error: Error) => {
      clearTimeout(timer);
      request.destroy();
      reject(error);
    };
    const request = http.request({host, port, method, path, headers, agent});
    request.on('response', response => {
      const chunks: Buffer[] = [];
      let bytes = 0;
      const endMs = performance.now() + MAX_TRANSFER_MS;
      const expectNextPart = () => {
        const remainingMs = endMs - performance.now();
        if (remainingMs < MAX_PAUSE_MS) {
          failAfter(
            remainingMs,
            `response was incomplete after ${MAX_TRANSFER_MS} ms`,
          );
        } else {
          failAfter(MAX_PAUSE_MS, `response paused for ${MAX_PAUSE_MS} ms`);
        }
      };
      expectNextPart();
      response.on('data', (chunk: Buffer) => {
        expectNextPart();
        options.onProgress?.();
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
        resolve({
          status,
          headers: response.headers,
          body: Buffer.concat(chunks),
        });
      });
      response.on('error', fail);
      response.on('aborted', () => fail(new Error('response was incomplete')));
    });
    const failAfter = (durationMs: number, message: string) => {
      clearTimeout(timer);
      const expectedTimer = setTimeout(
        // After a delay of the event loop, timers run before sockets are read.
        () =>
          setImmediate(() => {
            if (!isComplete && timer === expectedTimer) {
              fail(new Error(message));
            }
          }),
        durationMs,
      );
      timer = expectedTimer;
    };
    request.end(body);
    failAfter(timeoutMs, `no response within ${timeoutMs} ms`);
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
