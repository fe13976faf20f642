import {until, type RawConnection} from '@carobseam/testing.fixtures';
import {expect} from 'chai';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  requestText,
  withDaemon,
  type ReceivedRequest,
} from './stopped_daemon.js';

const COMPLETE_RESPONSE = /^HTTP\/1.1 200 [^]*\r\n\r\nran /;
const NOT_RUN = /^HTTP\/1.1 503 [^]*x-carobseam-refusal: not-run/;

const STOP_SIGNALS = [
  'SIGTERM',
  'SIGHUP',
  'SIGTERM',
  'SIGINT',
  'SIGINT',
] as const;

const ANNOUNCEMENT_MS = 300; // then the notice of 500 ms begins
const IDS = Array.from({length: 60}, (_, index) => index);

const isAnswered = ({received}: RawConnection) =>
  COMPLETE_RESPONSE.test(received());

const respondAfter =
  (durationMs: number) =>
  ({id, response}: ReceivedRequest) =>
    void setTimeout(() => response.end(`ran ${id}\n`), durationMs);

describe('stopped carobseam-daemon', () => {
  it('guards against cutting requests at further signals during the drain', async () => {
    await withDaemon(
      respondAfter(1500),
      async daemon => {
        const {socket, received, closed} = await daemon.connect();
        socket.write(requestText('a', {path: '/buy'}));
        await daemon.untilReceived(1);
        for (const signal of STOP_SIGNALS) {
          daemon.process.signal(signal);
          await sleep(100);
        }
        await closed;
        expect(received()).to.match(COMPLETE_RESPONSE);
        await daemon.exited();
        expect(daemon.process.endSignal).to.equal(undefined);
      },
      {path: '/buy'},
    );
  });

  it('guards against running requests without answering them during the drain', async () => {
    await withDaemon(
      respondAfter(100),
      async daemon => {
        const connections: RawConnection[] = [];
        const send = async (id: string) => {
          const connection = await daemon.connect();
          connection.socket.write(requestText(id, {path: '/buy'}));
          connections.push(connection);
        };
        await Promise.all(IDS.map(id => send(`kept-${id}`)));
        await until(() => connections.every(each => isAnswered(each)));
        const idle = connections.splice(0);
        daemon.process.signal('SIGTERM');
        for (let index = 0; daemon.process.isRunning; index++) {
          const lateText = requestText(`late-${index}`, {path: '/buy'});
          idle[index]?.socket.write(lateText);
          await send(`new-${index}`);
          await sleep(20);
        }
        await sleep(50);
        const answers = [...idle, ...connections]
          .map(({received}) => received())
          .join('');
        const unanswered = daemon.requests.filter(
          ({id}) => !answers.includes(`ran ${id}\n`),
        );
        expect(unanswered.map(({id}) => id)).to.deep.equal([]);
        const refused = connections.filter(({received}) =>
          NOT_RUN.test(received()),
        );
        expect(refused.length).to.be.above(5);
      },
      {path: '/buy'},
    );
  });

  it('guards against cutting a request whose body is uploaded during the drain', async () => {
    await withDaemon(respondAfter(0), async daemon => {
      const {socket, received, closed} = await daemon.connect();
      socket.write(requestText('a', {framing: 'content-length: 2'}) + 'x');
      await sleep(50);
      daemon.process.signal('SIGTERM');
      await sleep(1200);
      socket.write('y');
      await closed;
      const runs = daemon.requests.length;
      expect(received()).to.match(runs > 0 ? COMPLETE_RESPONSE : NOT_RUN);
    });
  });

  it('guards against resetting a connection whose request is refused while its body is uploaded', async () => {
    await withDaemon(respondAfter(0), async daemon => {
      const {socket, received, closed} = await daemon.connect();
      daemon.process.signal('SIGTERM');
      await sleep(200);
      const body = Buffer.alloc(4_000_000);
      const framing = `content-length: ${body.length}`;
      socket.pause();
      socket.write(requestText('a', {framing}));
      socket.write(body);
      await sleep(300);
      socket.resume();
      await closed;
      expect(received()).to.match(NOT_RUN);
      expect(daemon.requests).to.have.length(0);
    });
  });

  it('guards against truncating a response whose end its caller reads slowly', async () => {
    const bytes = 8_000_000;
    const respond = ({response}: ReceivedRequest) => {
      response.writeHead(200, {'content-length': bytes});
      response.end(Buffer.alloc(bytes, 'x'));
    };
    await withDaemon(respond, async daemon => {
      const {socket, received, closed} = await daemon.connect();
      socket.on('data', () => {
        socket.pause();
        setTimeout(() => socket.resume(), 10);
      });
      socket.write(requestText('a'));
      await daemon.untilReceived(1);
      daemon.process.signal('SIGTERM');
      await closed;
      const text = received();
      expect(text.length - text.indexOf('\r\n\r\n') - 4).to.equal(bytes);
    });
  });

  for (const version of ['1.0', '1.1']) {
    it(`guards against a streamed response to HTTP/${version} that looks complete when the time is up`, async () => {
      const stream = ({response}: ReceivedRequest) => {
        const timer = setInterval(() => response.write('part'), 20);
        response.on('close', () => clearInterval(timer));
      };
      await withDaemon(
        stream,
        async daemon => {
          const {socket, received, closed, isReset} = await daemon.connect();
          socket.write(requestText('a', {version}));
          await until(() => received().includes('part'));
          daemon.process.signal('SIGTERM');
          await closed;
          expect(isReset() || /chunked/i.test(received())).to.equal(true);
          expect(received()).not.to.match(/\r\n0\r\n\r\n$/);
        },
        {settings: {shutdownTimeoutMs: 500}},
      );
    });
  }

  it('guards against closing a connection whose request was not read in time', async () => {
    await withDaemon(respondAfter(0), async daemon => {
      const kept = await daemon.connect();
      kept.socket.write(requestText('a'));
      await until(() => COMPLETE_RESPONSE.test(kept.received()));
      const answeredLength = kept.received().length;
      daemon.process.signal('SIGTERM');
      await sleep(ANNOUNCEMENT_MS + 200);
      daemon.process.signal('SIGSTOP');
      kept.socket.write(requestText('b'));
      const late = await daemon.connect();
      late.socket.write(requestText('c'));
      await sleep(1200);
      daemon.process.signal('SIGCONT');
      await Promise.all([kept.closed, late.closed]);
      expect(kept.received().slice(answeredLength)).to.match(NOT_RUN);
      expect(late.received()).to.match(NOT_RUN);
    });
  });

  it('guards against closing a connection in front of the response to a pipelined request', async () => {
    const respond = (request: ReceivedRequest) =>
      respondAfter(request.id === 'a' ? 500 : 800)(request);
    await withDaemon(respond, async daemon => {
      const {socket, received, closed} = await daemon.connect();
      socket.write(requestText('a') + requestText('b'));
      await daemon.untilReceived(2);
      daemon.process.signal('SIGTERM');
      await closed;
      expect(received()).to.match(/ran a[^]*ran b\n$/);
    });
  });
}).timeout(60_000);
