import {
  ConnectionPool,
  type ExchangeRequest,
  type ExchangeResult,
} from '@carobseam/calls.exchange';
import {SystemClock} from '@carobseam/core.clock';
import {expect} from 'chai';
import type net from 'node:net';
import {Readable} from 'node:stream';
import {
  framedResponse,
  startRawWorker,
  type RawReaction,
} from './raw_worker.js';

async function withWorker(
  react: RawReaction,
  run: (
    send: (id: string, changed?: Partial<ExchangeRequest>) => Promise<string>,
    connectionCount: () => number,
  ) => Promise<void>,
): Promise<void> {
  const worker = await startRawWorker(react);
  const pool = new ConnectionPool({
    clock: new SystemClock(),
    address: worker.address,
    connectTimeoutMs: 500,
    idleTtlMs: 5000,
    maxIdle: 4,
    requestIdHeader: 'x-request-id',
  });
  const send = async (id: string, changed: Partial<ExchangeRequest> = {}) => {
    const exchange = pool.exchange({
      method: 'GET',
      url: '/',
      headers: ['Host', 'a.example', 'X-Request-Id', id],
      body: Buffer.alloc(0),
      requestId: id,
      ...changed,
    });
    const text = await describeResult(await exchange.result);
    // The connection goes back to the pool in a later turn of the loop.
    await new Promise(resolve => setTimeout(resolve, 5));
    return text;
  };
  try {
    await run(send, worker.connectionCount);
  } finally {
    pool.close();
    await worker.close();
  }
}

async function describeResult(result: ExchangeResult): Promise<string> {
  if (result.kind !== 'response') {
    return `${result.kind}: ${result.reason}`;
  }
  let body = '';
  if (result.body instanceof Readable) {
    for await (const chunk of result.body as AsyncIterable<Buffer>) {
      body += chunk.toString();
    }
  } else {
    body = result.body.toString();
  }
  return `${result.status} ${body}`;
}

describe('ConnectionPool', () => {
  it('uses a connection again', async () => {
    await withWorker(
      (socket, id) => socket.write(framedResponse(id, id)),
      async (send, connectionCount) => {
        expect(await send('a')).to.equal('200 a');
        expect(await send('b')).to.equal('200 b');
        expect(connectionCount()).to.equal(1);
      },
    );
  });

  it('guards against a late extra response to an earlier request', async () => {
    await withWorker(
      (socket, id) => {
        const late = id === 'b' ? framedResponse('a', 'stale') : '';
        socket.write(late + framedResponse(id, id));
      },
      async (send, connectionCount) => {
        await send('a');
        expect(await send('b')).to.equal('200 b');
        expect(await send('c')).to.equal('200 c');
        expect(connectionCount()).to.equal(2);
      },
    );
  });

  it('closes a connection on which extra bytes arrive', async () => {
    await withWorker(
      (socket, id) => socket.write(`${framedResponse(id, id)}extra bytes`),
      async (send, connectionCount) => {
        expect(await send('a')).to.equal('200 a');
        expect(await send('b')).to.equal('200 b');
        expect(connectionCount()).to.equal(2);
      },
    );
  });

  const broken: Array<[string, RawReaction, string]> = [
    [
      'a body that is cut',
      socket =>
        socket.end('HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort'),
      'unknown: connection_lost',
    ],
    [
      'bytes that are no response',
      socket => socket.end('%%% not http %%%\r\n\r\n'),
      'unknown: malformed_response',
    ],
    [
      'a chunk size that is no number',
      socket =>
        socket.end(
          'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\r\n',
        ),
      'unknown: malformed_response',
    ],
    [
      'a length that is no number',
      socket => socket.end('HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nabc'),
      'unknown: malformed_response',
    ],
    [
      'an unframed body that a reset ends',
      socket => {
        socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart');
        setTimeout(() => socket.resetAndDestroy(), 20);
      },
      'unknown: connection_lost',
    ],
  ];
  for (const [name, react, expected] of broken) {
    it(`guards against ${name}`, async () => {
      await withWorker(react, async send => {
        expect(await send('a')).to.equal(expected);
      });
    });
  }

  it('guards against a reset that arrives together with data', async () => {
    await withWorker(
      socket => {
        socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart');
        socket.resetAndDestroy();
      },
      async send => {
        expect(await send('a')).to.match(/^unknown/);
      },
    );
  });

  it('delivers an unframed body that the worker ends', async () => {
    await withWorker(
      socket => socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole'),
      async send => {
        expect(await send('a')).to.equal('200 whole');
      },
    );
  });

  it('streams a body that is larger than the buffer', async () => {
    const large = 'x'.repeat(700 * 1024);
    await withWorker(
      (socket, id) => socket.write(framedResponse(id, large)),
      async send => {
        expect(await send('a')).to.have.length(large.length + 4);
      },
    );
  });

  it('says that nothing was sent when nobody listens', async () => {
    await withWorker(
      () => {},
      async () => {
        const pool = new ConnectionPool({
          clock: new SystemClock(),
          address: '127.0.0.1:1',
          connectTimeoutMs: 500,
          idleTtlMs: 5000,
          maxIdle: 1,
          requestIdHeader: 'x-request-id',
        });
        const request = {method: 'GET', url: '/', headers: []};
        const exchange = pool.exchange({...request, body: Buffer.alloc(0)});
        expect(await describeResult(await exchange.result)).to.equal(
          'notSent: connect_failed',
        );
      },
    );
  });

  it('gives up a silent connection when it is told how long to wait', async () => {
    await withWorker(
      () => {},
      async send => {
        expect(await send('a', {silenceMs: 50})).to.equal('unknown: silent');
      },
    );
  });

  it('does not take an interim response for the answer', async () => {
    await withWorker(
      (socket, id) => {
        const interim = setInterval(
          () => socket.write('HTTP/1.1 102 Processing\r\n\r\n'),
          30,
        );
        setTimeout(() => {
          clearInterval(interim);
          socket.write(framedResponse(id, 'done'));
        }, 200);
      },
      async send => {
        expect(await send('a', {silenceMs: 100})).to.equal('200 done');
      },
    );
  });

  it('opens a connection of its own for a request that asks for one', async () => {
    await withWorker(
      (socket, id) => socket.write(framedResponse(id, id)),
      async (send, connectionCount) => {
        await send('a');
        await send('b', {needsNewConnection: true});
        expect(connectionCount()).to.equal(2);
      },
    );
  });

  it('guards against a worker that forgets idle connections early', async () => {
    const forgottenAfterMs = 100;
    const usedMs = new Map<net.Socket, number>();
    const forget: RawReaction = (socket, id) => {
      const idleMs = performance.now() - (usedMs.get(socket) ?? Infinity);
      usedMs.set(socket, performance.now());
      if (idleMs > forgottenAfterMs) {
        socket.resetAndDestroy();
      } else {
        socket.write(framedResponse(id, id));
      }
    };
    const rest = () => new Promise(resolve => setTimeout(resolve, 150));
    await withWorker(forget, async send => {
      const results: string[] = [];
      for (const id of ['a', 'b', 'c', 'd', 'e']) {
        results.push(await send(id));
        await rest();
      }
      const lost = results.filter(text => text.includes('connection_lost'));
      expect(results.slice(2).join()).to.equal('200 c,200 d,200 e');
      expect(lost).to.have.length(1);
    });
  });
});
