import {wireHeaders} from '@carobseam/platform.adapter';
import {expect} from 'chai';
import {
  rawRefusal,
  rawResponse,
  withRawMesh,
  type RawHandler,
} from './raw_mesh.js';

const INTERIM = 'HTTP/1.1 102 Processing\r\n\r\n';
const RUN_MS = 20;

/**
 * Refuses the request `first` and runs all others. Sends other bytes before the
 * answer to the first of them on a reused connection.
 */
function refuseThenRun(beforeAnswer: string): RawHandler {
  let isSent = false;
  return ({socket, id, earlierRequests}) => {
    if (id === 'first') {
      socket.write(rawRefusal(503, id));
      return;
    }
    if (earlierRequests > 0 && !isSent) {
      isSent = true;
      socket.write(beforeAnswer);
    }
    setTimeout(() => socket.write(rawResponse(id, `ran ${id}`)), RUN_MS);
  };
}

/** Writes bytes after the first response, at a point that the test chooses. */
function writeAfterFirst(
  bytes: string,
  writeLater: (write: () => void) => void,
): RawHandler {
  return ({socket, id, earlierRequests}) => {
    socket.write(rawResponse(id, `ran ${id}`));
    if (earlierRequests === 0 && id === 'first') {
      writeLater(() => socket.write(bytes));
    }
  };
}

for (const layout of ['own worker', 'worker behind a hop'] as const) {
  describe(`relay with a worker that repeats a response, ${layout}`, () => {
    const statuses = [421, 429, 503];
    for (const status of statuses) {
      const stale = rawRefusal(status);
      const refusals: Array<[string, string]> = [
        ['before its answer', stale],
        ['between interim responses', INTERIM + stale + INTERIM],
      ];
      for (const [name, bytes] of refusals) {
        it(`guards against "not run" for a running request when a ${status} without id is repeated ${name}`, async () => {
          await withRawMesh(layout, refuseThenRun(bytes), async mesh => {
            expect(await mesh.describeCall('first', '/read/1')).to.equal('503');
            expect(await mesh.describeCall('second', '/read/2')).to.equal(
              '502',
            );
            expect(mesh.mostOnOneConnection()).to.equal(2);
          });
        });
      }

      it(`skips a ${status} that is repeated with the id of its request`, async () => {
        const handle = refuseThenRun(rawRefusal(status, 'first'));
        await withRawMesh(layout, handle, async mesh => {
          await mesh.describeCall('first', '/read/1');
          expect(await mesh.describeCall('second', '/read/2')).to.equal(
            '200 ran second',
          );
          expect(mesh.mostOnOneConnection()).to.equal(2);
        });
      });

      it(`guards against a repeated ${status} in the answer to a request that is not idempotent`, async () => {
        const handle = refuseThenRun(stale);
        await withRawMesh(layout, handle, async mesh => {
          await mesh.describeCall('first', '/read/1');
          const post = {method: 'POST', body: 'b'};
          for (const id of ['second', 'third']) {
            expect(await mesh.describeCall(id, '/buy/2', post)).to.equal(
              `200 ran ${id}`,
            );
          }
          expect(mesh.mostOnOneConnection()).to.equal(1);
        });
      });

      it(`passes on a ${status} without id that comes first on its connection`, async () => {
        const refuse: RawHandler = ({socket}) => socket.write(stale);
        await withRawMesh(layout, refuse, async mesh => {
          const post = {method: 'POST', body: 'b'};
          expect(await mesh.describeCall('first', '/buy/1', post)).to.equal(
            '503',
          );
        });
      });

      const moments: Array<[string, (write: () => void) => void]> = [
        ['at once', write => write()],
        ['in the next turn of the event loop', write => setImmediate(write)],
        ['after 2 ms', write => setTimeout(write, 2)],
      ];
      for (const [name, writeLater] of moments) {
        it(`guards against a ${status} that follows an answer ${name}`, async () => {
          const handle = writeAfterFirst(stale, writeLater);
          await withRawMesh(layout, handle, async mesh => {
            for (const id of ['first', 'second', 'third']) {
              expect(await mesh.describeCall(id, '/read/1')).to.equal(
                `200 ran ${id}`,
              );
            }
          });
        });
      }
    }

    it('guards against delivering an extra answer without id to the next request', async () => {
      const extra = rawResponse('first', 'ran first').replace(
        `${wireHeaders.requestId}: first\r\n`,
        '',
      );
      await withRawMesh(layout, refuseThenRun(extra), async mesh => {
        await mesh.describeCall('first', '/read/1');
        expect(await mesh.describeCall('second', '/read/2')).to.equal('502');
      });
    });
  });
}

describe('relay with two workers that repeat a refusal', () => {
  it('guards against a second run after an extra refusal with the id of another request and one without', async () => {
    const handle: RawHandler = ({socket, id}) => {
      socket.write(rawRefusal(503, 'other') + rawRefusal(503));
      setTimeout(() => socket.write(rawResponse(id, `ran ${id}`)), RUN_MS);
    };
    await withRawMesh('two workers', handle, async mesh => {
      const post = {method: 'POST', body: 'b'};
      expect(await mesh.describeCall('first', '/buy/1', post)).to.equal('502');
      expect(mesh.requestCount()).to.equal(1);
    });
  });

  it('guards against a second run of a request whose id was refused before', async () => {
    let refusals = 0;
    const handle: RawHandler = ({socket, id, earlierRequests}) => {
      const isFirstCall = refusals < 2;
      if (isFirstCall || earlierRequests > 0) {
        refusals++;
        socket.write(rawRefusal(503, id));
      }
      if (!isFirstCall) {
        setTimeout(() => socket.write(rawResponse(id, `ran ${id}`)), RUN_MS);
      }
    };
    await withRawMesh('two workers', handle, async mesh => {
      const post = {method: 'POST', body: 'b'};
      expect(await mesh.describeCall('same', '/buy/1', post)).to.equal('503');
      for (let count = 0; count < 3; count++) {
        expect(await mesh.describeCall('same', '/buy/1', post)).to.equal(
          '200 ran same',
        );
      }
      expect(mesh.requestCount()).to.equal(5);
    });
  });

  it('guards against a second run of a request that is not idempotent', async () => {
    const handle = refuseThenRun(rawRefusal(503));
    await withRawMesh('two workers', handle, async mesh => {
      await mesh.describeCall('first', '/read/1');
      const before = mesh.requestCount();
      for (const id of ['second', 'third', 'fourth']) {
        const post = {method: 'POST', body: 'b'};
        expect(await mesh.describeCall(id, '/buy/2', post)).to.equal(
          `200 ran ${id}`,
        );
      }
      expect(mesh.requestCount() - before).to.equal(3);
    });
  });

  it('sends an idempotent request again after a refusal that may belong to an earlier one', async () => {
    const handle = refuseThenRun(rawRefusal(503));
    await withRawMesh('two workers', handle, async mesh => {
      await mesh.describeCall('first', '/read/1');
      expect(await mesh.describeCall('second', '/read/2')).to.equal(
        '200 ran second',
      );
    });
  });
});

describe('relay with a worker that repeats a refusal inside the head of an answer', () => {
  for (const status of [429, 503]) {
    it(`guards against a second run after a 200 that contains the headers of a ${status}`, async () => {
      const handle: RawHandler = ({socket, id}) => {
        const head = rawResponse(id, '').split('Content-Length')[0]!;
        socket.write(`${head}X-A: b${rawRefusal(status)}`);
      };
      await withRawMesh('two workers', handle, async mesh => {
        const post = {method: 'POST', body: 'b'};
        expect(await mesh.describeCall('first', '/buy/1', post)).to.equal(
          '502',
        );
        expect(mesh.requestCount()).to.equal(1);
      });
    });
  }
});
