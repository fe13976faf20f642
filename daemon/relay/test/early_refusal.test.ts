import {wireHeaders} from '@carobseam/platform.adapter';
import {expect} from 'chai';
import http from 'node:http';
import {rawRefusal, withRawMesh} from './raw_mesh.js';

const PART = Buffer.alloc(300 * 1024, 'x'); // streamed by the relay
const PAUSE_MS = 50;

/** Sends a body in two parts and returns the status or the error. */
async function describeUpload(port: number): Promise<string> {
  return new Promise(resolve => {
    const request = http.request({
      host: '127.0.0.1',
      port,
      path: '/buy/1',
      method: 'POST',
      agent: false,
      headers: {
        host: 'hints.example',
        [wireHeaders.requestId]: 'id-1',
        [wireHeaders.deadlineMs]: '1500',
        'content-length': PART.length * 2,
      },
    });
    request.on('response', response => {
      response.resume();
      resolve(String(response.statusCode));
    });
    request.on('error', (error: NodeJS.ErrnoException) =>
      resolve(`broken off: ${error.code}`),
    );
    request.write(PART);
    setTimeout(() => request.end(PART), PAUSE_MS);
  });
}

for (const layout of ['own worker', 'worker behind a hop'] as const) {
  describe(`relay with a worker that refuses before it has the whole body, ${layout}`, () => {
    for (const status of [429, 503]) {
      it(`guards against "not run" after a ${status} without id`, async () => {
        let requests = 0;
        await withRawMesh(
          layout,
          ({socket}) => {
            if (requests++ === 0) {
              socket.write(rawRefusal(status));
            }
          },
          async mesh => {
            expect(await describeUpload(mesh.port)).to.equal('502');
          },
        );
      });

      it(`passes on a ${status} with the id of its request`, async () => {
        let requests = 0;
        await withRawMesh(
          layout,
          ({socket, id}) => {
            if (requests++ === 0) {
              socket.write(rawRefusal(status, id));
            }
          },
          async mesh => {
            expect(await describeUpload(mesh.port)).to.equal('503');
          },
        );
      });
    }
  });
}
