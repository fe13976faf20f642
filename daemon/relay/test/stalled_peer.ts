import {encodeHopResponse, hopHeaders} from '@carobseam/calls.relay';
import {wireHeaders} from '@carobseam/platform.adapter';
import http from 'node:http';
import {parentPort, workerData} from 'node:worker_threads';

/** Options of the thread that plays the relay of a worker. */
export interface StalledPeerOptions {
  host: string;
  port: number;
  /** Time for which the event loop is blocked while the worker runs a request. */
  stallMs: number;
}

/** What the thread reports. */
export type StalledPeerEvent = 'listening' | 'stalls';

const BACKLOG = 1; // so that a test can fill the queue of new connections

const {host, port, stallMs} = workerData as StalledPeerOptions;
const report = (event: StalledPeerEvent) => parentPort!.postMessage(event);

function block(durationMs: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
}

const server = http.createServer((request, response) => {
  if (request.method === 'OPTIONS') {
    response.end(); // a health probe
    return;
  }
  request.resume();
  request.on('end', () => {
    report('stalls');
    block(stallMs);
    response.writeHead(200, {
      [wireHeaders.requestId]: request.headers[wireHeaders.requestId]!,
      [wireHeaders.workerSignature]: 'signature',
      [hopHeaders.response]: encodeHopResponse({
        verdict: 'answered',
        reason: '200',
        retryAfterMs: 0,
        load: {
          running: 1,
          slots: 4,
          meanServiceMs: 100,
          failureShare: 0,
          isLeaving: false,
          queued: [0, 0, 0, 0, 0],
          serviceMs: [0, 0, 0, 0, 0],
        },
      }),
    });
    response.end('ran');
  });
});
server.listen({host, port, backlog: BACKLOG}, () => report('listening'));
