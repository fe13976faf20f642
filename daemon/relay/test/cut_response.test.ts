import {wireHeaders} from '@carobseam/platform.adapter';
import {expect} from 'chai';
import net from 'node:net';
import {
  rawResponse,
  withRawMesh,
  type RawHandler,
  type RawMesh,
} from './raw_mesh.js';

const ID = 'id-0000';
const LARGE_BYTES = 400 * 1024; // streamed by the relay
const POST = {method: 'POST', body: 'b'};

const cuts = {
  closed: (socket: net.Socket) => socket.end(),
  reset: (socket: net.Socket) => {
    // The reset must not overtake the bytes.
    setTimeout(() => socket.resetAndDestroy(), 2);
  },
  'reset at once': (socket: net.Socket) => socket.resetAndDestroy(),
};

const chunked = (body: string) =>
  rawResponse(
    ID,
    `4\r\n${body.slice(0, 4)}\r\n${(body.length - 4).toString(16)};a=b\r\n${body.slice(4)}\r\n0\r\nX-Trailer: t\r\n\r\n`,
    'Transfer-Encoding: chunked',
  );

/** Whole answers whose end the bytes themselves show, with the expected result. */
const answers: Array<[string, string, string]> = [
  ['a length', rawResponse(ID, 'whole body'), '200 whole body'],
  ['chunks and a trailer', chunked('whole body'), '200 whole body'],
  [
    'interim responses before it',
    'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n' +
      rawResponse(ID, 'whole body'),
    '200 whole body',
  ],
  [
    'both framings',
    rawResponse(
      ID,
      '5\r\nwhole\r\n0\r\n\r\n',
      'Content-Length: 3\r\nTransfer-Encoding: chunked',
    ),
    '200 whole',
  ],
  ['an empty body', rawResponse(ID, ''), '200'],
];

const CONCURRENCY = 4; // slots of the worker

/**
 * Cuts the answer after each of its bytes and returns the cuts by result. The
 * ids have the same length, so that the answers have it too.
 */
async function collectResults(
  mesh: RawMesh,
  length: number,
): Promise<Map<string, number[]>> {
  const results = new Map<string, number[]>();
  const remaining = Array.from({length: length + 1}, (_, cut) => cut);
  const callNext = async (): Promise<void> => {
    const cut = remaining.shift();
    if (cut === undefined) {
      return;
    }
    const text = await mesh.describeCall(idOf(cut), '/buy/1', POST);
    results.set(text, [...(results.get(text) ?? []), cut]);
    await callNext();
  };
  await Promise.all(Array.from({length: CONCURRENCY}, callNext));
  return results;
}

function idOf(cut: number): string {
  return `id-${String(cut).padStart(4, '0')}`;
}

for (const layout of ['own worker', 'worker behind a hop'] as const) {
  describe(`relay with a worker that cuts its answer, ${layout}`, () => {
    for (const [cutName, cutConnection] of Object.entries(cuts)) {
      for (const [name, answer, expected] of answers) {
        it(`guards against a success after a part of an answer with ${name} that is ${cutName}`, async () => {
          const handle: RawHandler = ({socket, id}) => {
            const cut = Number(id.slice('id-'.length));
            socket.write(answer.replaceAll(ID, id).slice(0, cut));
            cutConnection(socket);
          };
          await withRawMesh(layout, handle, async mesh => {
            const results = await collectResults(mesh, answer.length);
            const wholeCuts = results.get(expected) ?? [];
            const failedCuts = results.get('502') ?? [];
            // A reset may discard bytes that the relay has not read.
            expect(wholeCuts).to.be.deep.oneOf(
              cutName === 'closed' ? [[answer.length]] : [[], [answer.length]],
            );
            expect(wholeCuts.length + failedCuts.length).to.equal(
              answer.length + 1,
            );
          });
        });
      }
    }

    const largeAnswers: Array<[string, string]> = [
      ['a length', rawResponse(ID, 'x'.repeat(LARGE_BYTES))],
      ['chunks', chunked('x'.repeat(LARGE_BYTES))],
    ];
    for (const [cutName, cutConnection] of Object.entries(cuts)) {
      for (const [name, answer] of largeAnswers) {
        for (const missing of [1, 4, 7, 60_000]) {
          it(`guards against a whole streamed answer with ${name} that lacks ${missing} bytes and is ${cutName}`, async () => {
            const handle: RawHandler = ({socket}) => {
              socket.write(answer.slice(0, answer.length - missing), () =>
                cutConnection(socket),
              );
            };
            await withRawMesh(layout, handle, async mesh => {
              expect(await mesh.describeCall(ID, '/buy/1', POST)).to.be.oneOf([
                'broken off: ECONNRESET',
                '502',
              ]);
            });
          });
        }
      }
    }

    const closing = rawResponse(ID, 'x'.repeat(LARGE_BYTES), 'X-A: b');
    for (const cutName of ['reset', 'reset at once'] as const) {
      for (const bytes of [100, 1000, 300 * 1024, LARGE_BYTES]) {
        it(`guards against a whole answer of ${bytes} bytes without length that is ${cutName}`, async () => {
          const handle: RawHandler = ({socket}) => {
            socket.write(closing.slice(0, bytes), () => cuts[cutName](socket));
          };
          await withRawMesh(layout, handle, async mesh => {
            for (let count = 0; count < 10; count++) {
              expect(await mesh.describeCall(ID, '/buy/1', POST)).to.be.oneOf([
                'broken off: ECONNRESET',
                '502',
              ]);
            }
          });
        });
      }
    }
  });
}

describe('relay with a hop that ends in the middle of an answer', () => {
  const framings: Array<[string, string]> = [
    ['a length', `Content-Length: ${LARGE_BYTES}`],
    ['chunks', 'Transfer-Encoding: chunked'],
    ['neither length nor chunks', 'Connection: close'],
  ];
  for (const [name, framing] of framings) {
    for (const bytes of [1000, LARGE_BYTES - 10]) {
      it(`guards against a whole answer after ${bytes} bytes with ${name}`, async () => {
        const chunkHead = `${LARGE_BYTES.toString(16)}\r\n`;
        const part = (name === 'chunks' ? chunkHead : '') + 'x'.repeat(bytes);
        const handle: RawHandler = ({socket}) =>
          socket.write(rawResponse(ID, part, framing));
        await withRawMesh('worker behind a hop', handle, async mesh => {
          setTimeout(() => mesh.endLastRelay(), 100);
          expect(await mesh.describeCall(ID, '/buy/1', POST)).to.be.oneOf([
            'broken off: ECONNRESET',
            '502',
          ]);
        });
      });
    }
  }
});

describe('relay with a caller that uses HTTP/1.0', () => {
  /** Returns how the connection ended. */
  const describeEnd = (port: number, id: string): Promise<string> =>
    new Promise(resolve => {
      const socket = net.connect(port, '127.0.0.1');
      socket.on('data', () => {});
      socket.on('end', () => resolve('end'));
      socket.on('error', (error: NodeJS.ErrnoException) =>
        resolve(error.code!),
      );
      const headers = `Host: hints.example\r\n${wireHeaders.requestId}: ${id}\r\n${wireHeaders.deadlineMs}: 500\r\n`;
      socket.write(`GET /read/1 HTTP/1.0\r\n${headers}\r\n`);
    });

  const streamed = rawResponse(ID, 'x'.repeat(LARGE_BYTES));
  const ends: Array<[string, (socket: net.Socket) => void]> = [
    [
      'a streamed answer that its worker cuts',
      socket => setTimeout(() => cuts.closed(socket), 100),
    ],
    ['a streamed answer at the deadline', () => {}],
  ];
  for (const [name, endConnection] of ends) {
    it(`guards against a whole end of ${name}`, async () => {
      const handle: RawHandler = ({socket}) => {
        socket.write(streamed.slice(0, -1));
        endConnection(socket);
      };
      await withRawMesh('own worker', handle, async mesh => {
        expect(await describeEnd(mesh.port, ID)).to.equal('ECONNRESET');
      });
    });
  }

  it('passes on a whole streamed answer', async () => {
    const handle: RawHandler = ({socket}) => socket.write(streamed);
    await withRawMesh('own worker', handle, async mesh => {
      expect(await describeEnd(mesh.port, ID)).to.equal('end');
    });
  });
});
