import {wireHeaders} from '@carobseam/platform.adapter';
import {expect} from 'chai';
import {rawResponse, withRawMesh, type RawHandler} from './raw_mesh.js';

const ID = 'id-1';
const STATUS = 'HTTP/1.1 200 OK\r\n';
const FIELDS = `${wireHeaders.requestId}: ${ID}\r\n${wireHeaders.workerSignature}: s\r\n`;
const HEAD = STATUS + FIELDS;
const SIZED = 'Content-Length: 5\r\n\r\nwhole';
const OTHER = rawResponse('id-0', 'other');
const AGAIN = rawResponse(ID, 'again');
const FAILED = AGAIN.replace('200 OK', '500 Failed');
const CHUNKS = '\r\n5\r\nwhole\r\n0\r\n\r\n';

function codings(...values: string[]): string {
  return values.map(value => `Transfer-Encoding: ${value}\r\n`).join('');
}

for (const layout of ['own worker', 'worker behind a hop'] as const) {
  describe(`relay with a worker whose response is malformed, ${layout}`, () => {
    const malformed: Array<[string, string]> = [
      ['a header line that ends in its name', `${HEAD}Content-Len\r\n\r\nwho`],
      ['a space before the colon', `${HEAD}Content-Length : 5\r\n\r\nwho`],
      ['an empty header name', `${HEAD}: 10\r\n\r\nwho`],
      ['a NUL in a header value', `${HEAD}X-A: a\0b\r\n${SIZED}`],
      ['a NUL in a header name', `${HEAD}X-\0A: a\r\n${SIZED}`],
      ['a folded first line', `${STATUS} a: b\r\n${FIELDS}${SIZED}`],
      ['a folded length', `${HEAD}Content-Length: 1\r\n 0\r\n\r\nwhole`],
      ['a cut status', `${HEAD.replace('200', '20')}${SIZED}`],
      ['a bare CR in a header', `${HEAD}X-A: a\rb\r\n${SIZED}`],
      ['two lengths', `${HEAD}Content-Length: 3\r\n${SIZED}`],
      ['another response after a header line', HEAD + OTHER],
      ['another response inside a header name', `${HEAD}Content-Le${OTHER}`],
      ['a NUL in the status line', `HTTP/1.1 200\0OK\r\n${FIELDS}${SIZED}`],
      ['another response after its status', `HTTP/1.1 200${FAILED}`],
      ['another response inside its reason', `HTTP/1.1 200 O${FAILED}`],
      ['another response inside a value', `${HEAD}X-A: b${OTHER}`],
      ['its own response once more inside a value', `${HEAD}X-A: b${AGAIN}`],
      ['an unknown transfer coding', `${HEAD}${codings('gzip')}${CHUNKS}`],
      ['a list of codings', `${HEAD}${codings('gzip, chunked')}${CHUNKS}`],
      ['a cut coding', `${HEAD}${codings('chun')}${CHUNKS}`],
      ['two codings', `${HEAD}${codings('chunked', 'identity')}${CHUNKS}`],
      ['chunks in chunks', `${HEAD}${codings('chunked', 'chunked')}${CHUNKS}`],
    ];
    for (const [name, bytes] of malformed) {
      it(`guards against a success with ${name}`, async () => {
        const handle: RawHandler = ({socket}) => socket.end(bytes);
        await withRawMesh(layout, handle, async mesh => {
          const post = {method: 'POST', body: 'b'};
          expect(await mesh.describeCall(ID, '/buy/1', post)).to.equal('502');
        });
      });
    }

    const valid: Array<[string, string]> = [
      ['bare line feeds', (HEAD + SIZED).replaceAll('\r\n', '\n')],
      ['no reason', `HTTP/1.1 200\r\n${FIELDS}${SIZED}`],
      ['a folded value', `${HEAD}X-A: a\r\n b\r\n${SIZED}`],
      ['an empty value', `${HEAD}X-A:\r\n${SIZED}`],
      ['equal lengths', `${HEAD}Content-Length: 5\r\n${SIZED}`],
      ['chunks', `${HEAD}${codings('Chunked')}${CHUNKS}`],
      ['letters beyond ASCII', `${HEAD}X-A: \xe9\r\n${SIZED}`],
    ];
    for (const [name, bytes] of valid) {
      it(`passes on an answer with ${name}`, async () => {
        const handle: RawHandler = ({socket}) => socket.write(bytes, 'latin1');
        await withRawMesh(layout, handle, async mesh => {
          expect(await mesh.describeCall(ID, '/read/1')).to.equal('200 whole');
        });
      });
    }
  });
}
