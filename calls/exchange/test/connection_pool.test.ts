import {
  ConnectionPool,
  type ExchangeFailure,
  type ExchangeRequest,
  type ExchangeResult,
  type SilenceWatch,
} from '@carobseam/calls.exchange';
import {SystemClock} from '@carobseam/core.clock';
import {expect} from 'chai';
import type net from 'node:net';
import {Readable} from 'node:stream';
import {
  framedResponse,
  startRawWorker,
  type RawRequestHandler,
} from './raw_worker.js';

function createPool(address: string): ConnectionPool {
  return new ConnectionPool({
    clock: new SystemClock(),
    address,
    connectTimeoutMs: 500,
    idleTtlMs: 5000,
    maxIdle: 4,
    requestIdHeader: 'x-request-id',
  });
}

async function withWorker(
  handleRequest: RawRequestHandler,
  run: (
    send: (id: string, overrides?: Partial<ExchangeRequest>) => Promise<string>,
    connectionCount: () => number,
  ) => Promise<void>,
): Promise<void> {
  const worker = await startRawWorker(handleRequest);
  const pool = createPool(worker.address);
  const send = async (id: string, overrides: Partial<ExchangeRequest> = {}) => {
    const exchange = pool.exchange({
      method: 'GET',
      url: '/',
      headers: ['Host', 'a.example', 'X-Request-Id', id],
      body: Buffer.alloc(0),
      requestId: id,
      ...overrides,
    });
    const text = await describeResult(await exchange.result);
    // The connection returns to the pool in a later turn of the event loop.
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

/** Ends an exchange at the first report of silence. */
const endAfter = (intervalMs: number): SilenceWatch => ({
  intervalMs,
  onSilent: () => 'end',
});

function blockEventLoop(durationMs: number): void {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs);
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
  it('guards against writing a request that was withdrawn while its connection was opened', async () => {
    let received = 0;
    await withWorker(
      () => received++,
      async send => {
        let checks = 0;
        for (const isWithdrawn of [() => true, () => ++checks > 1]) {
          const result = await send('id-1', {isWithdrawn});
          expect(result).to.equal('notSent: withdrawn');
        }
      },
    );
    expect(received).to.equal(0);
  });

  it('guards against headers that are older than the connection of their request', async () => {
    let isOpen = false;
    await withWorker(
      (socket, id) => socket.write(framedResponse(id, 'ok')),
      async send => {
        const sent = send('id-1', {
          headers: () => [
            'Host',
            'a.example',
            'X-Request-Id',
            isOpen ? 'id-1' : 'old',
          ],
        });
        isOpen = true;
        expect(await sent).to.equal('200 ok');
      },
    );
  });

  it('guards against an exchange without a result when its address is not valid', async () => {
    const pool = createPool('127.0.0.1:99999');
    for (const needsNewConnection of [true, false]) {
      const {result, cancel} = pool.exchange({
        method: 'GET',
        url: '/',
        headers: [],
        body: Buffer.alloc(0),
        needsNewConnection,
      });
      cancel();
      const failure = {kind: 'notSent', reason: 'connect_failed'};
      expect(await result).to.include(failure);
    }
    expect(pool.isEmpty).to.equal(true);
    pool.close();
  });

  it('guards against a failure that does not state what the peer sent before it', async () => {
    const interim = 'HTTP/1.1 102 Processing\r\n\r\n';
    const worker = await startRawWorker(socket => socket.write(interim));
    const pool = createPool(worker.address);
    const {result} = pool.exchange({
      method: 'GET',
      url: '/',
      headers: [],
      body: Buffer.alloc(0),
      silenceWatch: endAfter(100),
    });
    const failure = (await result) as ExchangeFailure;
    pool.close();
    await worker.close();
    expect(failure).to.include({
      reason: 'silent',
      receivedBytes: interim.length,
      receivedInterims: 1,
    });
    expect(failure.silentMs).to.be.within(90, 1000);
  });

  it('reuses an idle connection', async () => {
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
        const extraResponse = id === 'b' ? framedResponse('a', 'stale') : '';
        socket.write(extraResponse + framedResponse(id, id));
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

  const invalidResponses: Array<[string, RawRequestHandler, string]> = [
    [
      'a truncated body',
      socket =>
        socket.end('HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort'),
      'unknown: connection_lost',
    ],
    [
      'bytes that are not an HTTP response',
      socket => socket.end('%%% not http %%%\r\n\r\n'),
      'unknown: malformed_response',
    ],
    [
      'an invalid chunk size',
      socket =>
        socket.end(
          'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\r\n',
        ),
      'unknown: malformed_response',
    ],
    [
      'an invalid content length',
      socket => socket.end('HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nabc'),
      'unknown: malformed_response',
    ],
    [
      'a close-delimited body that ends with a reset',
      socket => {
        socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart');
        setTimeout(() => socket.resetAndDestroy(), 20);
      },
      'unknown: connection_lost',
    ],
  ];
  for (const [name, handleRequest, expected] of invalidResponses) {
    it(`guards against ${name}`, async () => {
      await withWorker(handleRequest, async send => {
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

  it('delivers a close-delimited body that the worker ends normally', async () => {
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

  it('reports that nothing was sent when the connection is refused', async () => {
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

  it('ends a silent exchange when its observer decides so', async () => {
    await withWorker(
      () => {},
      async send => {
        expect(await send('a', {silenceWatch: endAfter(50)})).to.equal(
          'unknown: silent',
        );
      },
    );
  });

  it('guards against ending an exchange because the server is slow', async () => {
    const reportsMs: number[] = [];
    const onSilent = (silentMs: number) => {
      reportsMs.push(silentMs);
      return 'wait' as const;
    };
    await withWorker(
      (socket, id) =>
        setTimeout(() => socket.write(framedResponse(id, 'done')), 230),
      async send => {
        const silenceWatch = {intervalMs: 50, onSilent};
        expect(await send('a', {silenceWatch})).to.equal('200 done');
        expect(reportsMs.slice(0, 3)).to.deep.equal([50, 100, 150]);
      },
    );
  });

  it('guards against taking a delay of the own event loop for silence of the server', async () => {
    await withWorker(
      (socket, id) => {
        socket.write(framedResponse(id, 'done'));
        blockEventLoop(150);
      },
      async send => {
        expect(await send('a', {silenceWatch: endAfter(100)})).to.equal(
          '200 done',
        );
      },
    );
  });

  it('guards against reusing further connections after one died without a reset', async () => {
    await withWorker(
      (socket, id) => {
        if (id !== 'silent') {
          setTimeout(() => socket.write(framedResponse(id, id)), 20);
        }
      },
      async (send, connectionCount) => {
        await Promise.all([send('a'), send('b')]);
        expect(connectionCount()).to.equal(2);
        await send('silent', {silenceWatch: endAfter(50)});
        await send('c');
        expect(connectionCount()).to.equal(3);
      },
    );
  });

  it('guards against taking an interim response for the final response', async () => {
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
        expect(await send('a', {silenceWatch: endAfter(100)})).to.equal(
          '200 done',
        );
      },
    );
  });

  it('opens a new connection for a request that needs one', async () => {
    await withWorker(
      (socket, id) => socket.write(framedResponse(id, id)),
      async (send, connectionCount) => {
        await send('a');
        await send('b', {needsNewConnection: true});
        expect(connectionCount()).to.equal(2);
      },
    );
  });

  it('guards against repeated failures with a worker that resets idle connections early', async () => {
    const resetAfterIdleMs = 100;
    const lastUsedMs = new Map<net.Socket, number>();
    const resetWhenIdle: RawRequestHandler = (socket, id) => {
      const idleMs = performance.now() - (lastUsedMs.get(socket) ?? Infinity);
      lastUsedMs.set(socket, performance.now());
      if (idleMs > resetAfterIdleMs) {
        socket.resetAndDestroy();
      } else {
        socket.write(framedResponse(id, id));
      }
    };
    const pause = () => new Promise(resolve => setTimeout(resolve, 150));
    await withWorker(resetWhenIdle, async send => {
      const results: string[] = [];
      for (const id of ['a', 'b', 'c', 'd', 'e']) {
        results.push(await send(id));
        await pause();
      }
      const lost = results.filter(text => text.includes('connection_lost'));
      expect(results.slice(2).join()).to.equal('200 c,200 d,200 e');
      expect(lost).to.have.length(1);
    });
  });
});
