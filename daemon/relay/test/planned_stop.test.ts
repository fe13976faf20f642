import {wireHeaders} from '@carobseam/platform.adapter';
import {until, type RawConnection} from '@carobseam/testing.fixtures';
import {expect} from 'chai';
import {setTimeout as sleep} from 'node:timers/promises';
import type {ReceivedRequest} from './relay_fixtures.js';
import {
  GRACE_S,
  idOf,
  requestText,
  STOP_LAYOUTS,
  withStoppedRelay,
} from './stopped_relay.js';

const MIN_DRAIN_MS = 2600;
const LAST_RESPONSES_MS = (GRACE_S * 1000 * 5) / 6 - 200;
const REFUSED_FROM_MS = 2600;
const PART = 'part'.repeat(5000); // the relay streams responses over 256 KB
const IDS = Array.from({length: 100}, (_, index) => index);

function respond(request: ReceivedRequest): void {
  const {response} = request;
  response.writeHead(200, {
    [wireHeaders.requestId]: idOf(request),
    [wireHeaders.workerSignature]: 'signature',
  });
  response.end(`ran ${idOf(request)}\n`);
}

const respondAfter =
  (durationMs: number) =>
  (request: ReceivedRequest): void =>
    void setTimeout(respond, durationMs, request);

function findUnanswered(
  requests: readonly ReceivedRequest[],
  connections: readonly RawConnection[],
): string[] {
  const answers = connections.map(({received}) => received()).join('');
  return requests.map(idOf).filter(id => !answers.includes(`ran ${id}\n`));
}

for (const layout of STOP_LAYOUTS) {
  describe(`stopped carobseam-relay, ${layout}`, () => {
    it('guards against cutting requests at further signals during the drain', async () => {
      await withStoppedRelay(
        layout,
        respondAfter(LAST_RESPONSES_MS),
        async relay => {
          const connection = await relay.connect();
          connection.socket.write(requestText('a'));
          await relay.untilReceived(1);
          relay.process.signal('SIGTERM');
          for (const signal of ['SIGHUP', 'SIGTERM', 'SIGHUP'] as const) {
            await sleep(MIN_DRAIN_MS / 3 + 50);
            relay.process.signal(signal);
          }
          await until(() => !relay.process.isRunning);
          expect(findUnanswered(relay.requests, [connection])).to.deep.equal(
            [],
          );
          expect(relay.process.endSignal).to.equal(undefined);
        },
      );
    });

    it('guards against running requests without answering them until the process has gone', async () => {
      const deadlineMs = 1000; // a leaving relay takes no hop that lasts into its exit
      await withStoppedRelay(layout, respondAfter(20), async relay => {
        const connections: RawConnection[] = [];
        const send = async (id: string) => {
          const connection = await relay.connect();
          connection.socket.write(requestText(id, {deadlineMs}));
          connections.push(connection);
        };
        for (const id of IDS) {
          await send(`kept-${id}`);
          await until(() => connections.at(-1)!.received() !== '');
        }
        const kept = connections.slice();
        relay.process.signal('SIGTERM');
        for (let index = 0; relay.process.isRunning; index++) {
          if (index % 2 === 0) {
            kept[index / 2]?.socket.write(
              requestText(`late-${index}`, {deadlineMs}),
            );
          }
          await send(`new-${index}`);
          await sleep(20);
        }
        await sleep(300);
        const unanswered = findUnanswered(relay.requests, connections);
        expect(unanswered).to.deep.equal([]);
        expect(relay.requests.length).to.be.above(IDS.length + 20);
      });
    });

    for (const version of ['1.0', '1.1']) {
      it(`guards against a streamed response to HTTP/${version} that looks complete at the end of the grace`, async () => {
        const stream = (request: ReceivedRequest) => {
          const {response} = request;
          response.writeHead(200, {
            [wireHeaders.requestId]: idOf(request),
            [wireHeaders.workerSignature]: 'signature',
          });
          const timer = setInterval(() => response.write(PART), 20);
          response.on('close', () => clearInterval(timer));
        };
        await withStoppedRelay(layout, stream, async relay => {
          const {socket, received, closed, isReset} = await relay.connect();
          socket.write(requestText('a', {version}));
          await until(() => received().includes('part'));
          const startMs = performance.now();
          relay.process.signal('SIGTERM');
          await closed;
          expect(performance.now() - startMs).to.be.above(LAST_RESPONSES_MS);
          expect(isReset() || /chunked/i.test(received())).to.equal(true);
          expect(received()).not.to.match(/\r\n0\r\n\r\n$/);
        });
      });
    }

    it('guards against closing a connection in front of the response to a pipelined request', async () => {
      const handle = (request: ReceivedRequest) =>
        respondAfter(idOf(request) === 'a' ? 500 : 800)(request);
      await withStoppedRelay(layout, handle, async relay => {
        const connection = await relay.connect();
        connection.socket.write(requestText('a') + requestText('b'));
        await relay.untilReceived(2);
        relay.process.signal('SIGTERM');
        await Promise.race([connection.closed, sleep(2000)]);
        expect(findUnanswered(relay.requests, [connection])).to.deep.equal([]);
      });
    });
  }).timeout(60_000);
}

describe('stopped carobseam-relay', () => {
  it('guards against running a request that crossed the close of its connection', async () => {
    await withStoppedRelay('own worker', respond, async relay => {
      const connections: RawConnection[] = [];
      relay.process.signal('SIGTERM');
      await sleep(100);
      for (const id of IDS) {
        const connection = await relay.connect();
        connections.push(connection);
        connection.socket.write(requestText(`a-${id}`));
        connection.socket.once('data', () =>
          connection.socket.write(requestText(`b-${id}`)),
        );
      }
      await sleep(500);
      const unanswered = findUnanswered(relay.requests, connections);
      expect(unanswered).to.deep.equal([]);
    });
  });

  it('guards against running a request behind a response that closes its connection', async () => {
    const stream = (request: ReceivedRequest) => {
      const {response} = request;
      response.writeHead(200, {
        [wireHeaders.requestId]: idOf(request),
        [wireHeaders.workerSignature]: 'signature',
      });
      const timer = setInterval(() => response.write(PART), 20);
      setTimeout(() => {
        clearInterval(timer);
        response.end();
      }, 800);
    };
    await withStoppedRelay('own worker', stream, async relay => {
      const {socket, received, closed} = await relay.connect();
      relay.process.signal('SIGTERM');
      await sleep(200);
      socket.write(requestText('a'));
      await until(() => received().includes('part'));
      socket.write(requestText('b'));
      await closed;
      expect(received()).to.match(/Connection: close/i);
      expect(relay.requests.map(idOf)).to.deep.equal(['a']);
    });
  });

  it('guards against resetting a connection whose request is refused while its body is uploaded', async () => {
    const handle = respondAfter(LAST_RESPONSES_MS);
    await withStoppedRelay('own worker', handle, async relay => {
      const running = await relay.connect(); // keeps the relay running
      running.socket.write(requestText('running'));
      await relay.untilReceived(1);
      const {socket, received, closed} = await relay.connect();
      relay.process.signal('SIGTERM');
      await sleep(REFUSED_FROM_MS);
      const body = Buffer.alloc(900_000); // under the limit of the configuration
      socket.pause();
      socket.write(
        requestText('a', {framing: `Content-Length: ${body.length}`}),
      );
      for (let start = 0; start < body.length; start += 100_000) {
        socket.write(body.subarray(start, start + 100_000));
        await sleep(10);
      }
      socket.resume();
      await closed;
      expect(received()).to.match(/^HTTP\/1.1 503 [^]*Retry-After: /);
      expect(relay.requests).to.have.length(1);
    });
  });

  it('guards against closing a connection without an answer whose body is still uploaded at the exit', async () => {
    await withStoppedRelay('own worker', respond, async relay => {
      const {socket, received, closed} = await relay.connect();
      socket.write(requestText('a', {framing: 'Content-Length: 2'}) + 'x');
      relay.process.signal('SIGTERM');
      await closed;
      expect(received()).to.match(/^HTTP\/1.1 503 [^]*Retry-After: /);
      expect(relay.requests).to.have.length(0);
    });
  });
}).timeout(60_000);
