import {wireHeaders} from '@carobseam/platform.adapter';
import {expect} from 'chai';
import {rawResponse, withRawMesh, type RawHandler} from './raw_mesh.js';

const LENGTH = 'Content-Length: 20\r\n';
const CHUNKED = 'Transfer-Encoding: chunked\r\n';

/** Responds with a status and without a body. */
function respondWithoutBody(status: number, framing: string): RawHandler {
  return ({socket, id}) =>
    socket.write(
      `HTTP/1.1 ${status} A\r\n${wireHeaders.requestId}: ${id}\r\n${wireHeaders.workerSignature}: s\r\n${framing}\r\n`,
    );
}

/** Sends an interim response before the answer. */
function sendInterim(status: number, framing: string): RawHandler {
  return ({socket, id}) =>
    socket.write(
      `HTTP/1.1 ${status} A\r\n${framing}\r\n${rawResponse(id, 'whole')}`,
    );
}

for (const layout of ['own worker', 'worker behind a hop'] as const) {
  describe(`relay with a worker whose response has no body, ${layout}`, () => {
    const cases: Array<[string, string, RawHandler, string]> = [
      ['204', 'GET', respondWithoutBody(204, ''), '204'],
      ['204 with a length', 'GET', respondWithoutBody(204, LENGTH), '204'],
      ['204 with chunks', 'GET', respondWithoutBody(204, CHUNKED), '204'],
      ['304 with a length', 'GET', respondWithoutBody(304, LENGTH), '304'],
      ['304 with chunks', 'GET', respondWithoutBody(304, CHUNKED), '304'],
      ['200 to HEAD', 'HEAD', respondWithoutBody(200, LENGTH), '200'],
      ['chunked 200 to HEAD', 'HEAD', respondWithoutBody(200, CHUNKED), '200'],
      ['102', 'GET', sendInterim(102, ''), '200 whole'],
      ['102 with a length', 'GET', sendInterim(102, LENGTH), '200 whole'],
      ['103 with chunks', 'GET', sendInterim(103, CHUNKED), '200 whole'],
    ];
    for (const [name, method, handle, expected] of cases) {
      it(`guards against waiting for the body of ${name}`, async () => {
        await withRawMesh(layout, handle, async mesh => {
          for (const id of ['first', 'second']) {
            expect(await mesh.describeCall(id, '/read/1', {method})).to.equal(
              expected,
            );
          }
          expect(mesh.mostOnOneConnection()).to.equal(2);
        });
      });
    }

    it('guards against waiting for an answer after a change of protocol', async () => {
      const handle = sendInterim(
        101,
        'Connection: upgrade\r\nUpgrade: other\r\n',
      );
      await withRawMesh(layout, handle, async mesh => {
        expect(await mesh.describeCall('first', '/read/1')).to.equal('502');
      });
    });
  });
}
