import {expect} from 'chai';
import http from 'node:http';
import {
  allocatePorts,
  call,
  createSnapshot,
  createWorkerEntry,
  FakeSource,
  startRelay,
  startWorker,
} from './relay_fixtures.js';

const HOST = '127.0.9.1';

/** Sends a request to the control address and returns its status. */
function sendControl(
  port: number,
  path: string,
  body?: string,
): Promise<number> {
  return new Promise((resolve, reject) => {
    const method = body === undefined ? 'GET' : 'POST';
    const request = http.request({
      host: HOST,
      port,
      path,
      method,
      agent: false,
    });
    request.setTimeout(1000, () => request.destroy(new Error('no response')));
    request.on('response', response => {
      response.resume();
      resolve(response.statusCode!);
    });
    request.on('error', reject);
    request.end(body);
  });
}

describe('control address of a relay', () => {
  const messages: Array<
    [name: string, path: string, body: string | undefined, status: number]
  > = [
    ['a path that is no URL', '//', undefined, 404],
    ['an unknown path', '/other', undefined, 404],
    ['numbers that are none', '/changes?version=x&waitMs=y', undefined, 200],
    ['crash marks that are not JSON', '/crash-marks', '{', 400],
    ['crash marks of another form', '/crash-marks', '{"marks":7}', 400],
    ['too many crash marks', '/crash-marks', 'x'.repeat(2_000_000), 413],
  ];
  for (const [name, path, body, status] of messages) {
    it(`guards against a relay that ends or hangs after ${name}`, async () => {
      const ports = allocatePorts();
      const worker = await startWorker(HOST);
      const source = new FakeSource(
        createSnapshot([createWorkerEntry(worker, 'i-1')]),
      );
      const relay = await startRelay(worker, ports, source);
      try {
        expect(await sendControl(ports[3]!, path, body)).to.equal(status);
        const answer = await call({
          host: HOST,
          port: ports[0]!,
          path: '/read/1',
        });
        expect(answer.status).to.equal(200);
      } finally {
        relay.close();
        await worker.close();
      }
    });
  }
});
