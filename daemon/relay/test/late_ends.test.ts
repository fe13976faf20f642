import {wireHeaders} from '@carobseam/platform.adapter';
import {expect} from 'chai';
import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import {
  allocatePorts,
  call,
  createSnapshot,
  createWorkerEntry,
  FakeSource,
  startRelay,
} from './relay_fixtures.js';

const HOST = '127.0.0.94';
const BLOCKED_MS = 900; // one turn of the event loop, or a pause of the process
const LATE_MS = 500; // from which work for a caller that has left counts
const WARM_UP_REQUESTS = 30; // so that the estimate of the service time is short and connections are idle

/**
 * A worker with one slot and two callers, in a thread of their own. The second
 * request waits at the relay; its caller leaves before the first one is answered.
 */
const THREAD_CODE = `
const http = require('node:http');
const net = require('node:net');
const {parentPort, workerData} = require('node:worker_threads');
const {host, port, headers} = workerData;
const arrivals = {};
let first;
const server = http.createServer((request, response) => {
  const id = request.headers[headers.requestId];
  arrivals[id] = performance.now();
  response.setHeader(headers.requestId, id);
  response.setHeader(headers.workerSignature, 's');
  if (id === 'first') {
    first = response;
  } else {
    response.end('ok');
  }
});
const send = id => {
  const socket = net.connect({host, port});
  socket.on('error', () => {});
  socket.write('GET /read/' + id + ' HTTP/1.1\\r\\nHost: hints.example\\r\\n' +
    headers.requestId + ': ' + id + '\\r\\n' + headers.deadlineMs + ': 1800\\r\\n\\r\\n');
  return socket;
};
let second;
let leftMs;
const actions = {
  send: () => {
    send('first');
    setTimeout(() => (second = send('second')), 50);
  },
  leave: () => {
    setTimeout(() => {
      leftMs = performance.now();
      second.destroySoon();
    }, 100);
    setTimeout(() => first.end('ok'), 750);
  },
  report: () => parentPort.postMessage({
    ids: Object.keys(arrivals),
    lateMs: (arrivals.second ?? leftMs) - leftMs,
  }),
};
parentPort.on('message', action => actions[action]());
server.listen(0, host, () => parentPort.postMessage(server.address().port));
`;

const pass = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

describe('relay that did not read for some time', function () {
  this.timeout(15_000);

  it('guards against starting a queued request whose caller has left', async () => {
    const ports = allocatePorts();
    const thread = new Worker(THREAD_CODE, {
      eval: true,
      workerData: {host: HOST, port: ports[0], headers: {...wireHeaders}},
    });
    const [workerPort] = (await once(thread, 'message')) as [number];
    const worker = {
      address: `${HOST}:${workerPort}`,
      requests: [],
      close: () => Promise.resolve(),
    };
    const entry = {...createWorkerEntry(worker, 'i-1'), slots: 1};
    const source = new FakeSource(createSnapshot([entry]));
    const {close} = await startRelay(worker, ports, source);
    for (let count = 0; count < WARM_UP_REQUESTS; count++) {
      const id = `warm-${count}`;
      await call({host: HOST, port: ports[0]!, path: '/buy/warm', id});
    }
    thread.postMessage('send');
    await pass(200);
    thread.postMessage('leave');
    const endMs = performance.now() + BLOCKED_MS;
    while (performance.now() < endMs) {
      // Uses the processor.
    }
    await pass(500);
    thread.postMessage('report');
    const [report] = (await once(thread, 'message')) as [
      {ids: string[]; lateMs: number},
    ];
    close();
    await thread.terminate();
    expect(report.ids).to.include('first');
    expect(report.lateMs).to.be.lessThan(LATE_MS);
  });
});
