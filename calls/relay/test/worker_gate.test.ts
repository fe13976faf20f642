import {WorkerGate, type GateResult} from '@carobseam/calls.relay';
import type {WorkerId} from '@carobseam/config.mesh';
import {SystemClock} from '@carobseam/core.clock';
import {wireHeaders} from '@carobseam/platform.adapter';
import {expect} from 'chai';
import net from 'node:net';

const SEAL = `${wireHeaders.workerSignature}: seal\r\n`;
const BLOCK = 'x'.repeat(64 * 1024);

interface SubmitOptions {
  isIdempotent?: boolean;
  expiresInMs?: number;
}

interface GateHarness {
  gate: WorkerGate;
  submit: (options?: SubmitOptions) => Promise<GateResult>;
  openSockets: Set<net.Socket>;
}

/** Runs a gate in front of a worker that answers each request with bytes. */
async function withGate(
  handleRequest: (socket: net.Socket) => void,
  run: (harness: GateHarness) => Promise<void>,
): Promise<void> {
  const openSockets = new Set<net.Socket>();
  const server = net.createServer(socket => {
    openSockets.add(socket);
    socket.on('data', () => handleRequest(socket));
    socket.on('error', () => {});
    socket.on('close', () => openSockets.delete(socket));
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as net.AddressInfo;
  const clock = new SystemClock();
  const gate = new WorkerGate({
    clock,
    workerAddress: `127.0.0.1:${port}`,
    connectTimeoutMs: 500,
    idleTtlMs: 4000,
    maxIdle: 4,
    drainMs: 2000,
    isGone: () => false,
    onConnection: () => {},
  });
  const submit = ({
    isIdempotent = true,
    expiresInMs = 1000,
  }: SubmitOptions = {}) =>
    gate.submit({
      worker: 'i-0' as WorkerId,
      isIdempotent,
      scheduling: {
        rank: 1,
        isLastCallerAttempt: false,
        dueAtMs: clock.monotonicMs() + expiresInMs,
        expiresAtMs: clock.monotonicMs() + expiresInMs,
      },
      method: 'GET',
      url: '/',
      headers: ['Host', 'a.example'],
      body: Buffer.alloc(0),
    }).result;
  try {
    await run({gate, submit, openSockets});
  } finally {
    gate.close();
    openSockets.forEach(socket => socket.destroy());
    await new Promise<void>(resolve => {
      server.close(() => resolve());
    });
  }
}

/** Sends a head and then a body without end. */
function flood(socket: net.Socket, head: string): void {
  const write = () => {
    while (!socket.destroyed) {
      if (!socket.write(BLOCK)) {
        socket.once('drain', write);
        return;
      }
    }
  };
  socket.write(head);
  write();
}

/** Sends a text every 5 ms until the connection is closed. */
function repeat(socket: net.Socket, text: string): void {
  const timer = setInterval(() => socket.write(text), 5);
  socket.once('close', () => clearInterval(timer));
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

describe('WorkerGate', () => {
  it('guards against giving a free worker a request whose time is over', async () => {
    let received = 0;
    await withGate(
      () => received++,
      async ({submit}) => {
        for (const expiresInMs of [-500, 0, 10]) {
          const {verdict, reason} = await submit({expiresInMs});
          expect([verdict, reason]).to.deep.equal(['notSent', 'wouldExpire']);
        }
      },
    );
    expect(received).to.equal(0);
  });

  it('guards against slots that stay taken when no connection can be opened', async () => {
    const clock = new SystemClock();
    const gate = new WorkerGate({
      clock,
      workerAddress: '127.0.0.1:99999',
      connectTimeoutMs: 500,
      idleTtlMs: 4000,
      maxIdle: 4,
      drainMs: 2000,
      isGone: () => false,
      onConnection: () => {},
    });
    for (let count = 0; count < 10; count++) {
      const atMs = clock.monotonicMs() + 1000;
      const {result} = gate.submit({
        worker: 'i-0' as WorkerId,
        isIdempotent: false,
        scheduling: {
          rank: 1,
          isLastCallerAttempt: false,
          dueAtMs: atMs,
          expiresAtMs: atMs,
        },
        method: 'GET',
        url: '/',
        headers: [],
        body: Buffer.alloc(0),
      });
      const failure = {verdict: 'notSent', reason: 'connect_failed'};
      expect(await result).to.include(failure);
    }
    expect(gate.load.running).to.equal(0);
    gate.close();
  });

  it('guards against losing a slot to a stream that failed at once', async () => {
    await withGate(
      socket => {
        const bodyBytes = 260 * 1024;
        socket.cork();
        socket.write(
          `HTTP/1.1 200 OK\r\n${SEAL}Transfer-Encoding: chunked\r\n\r\n${bodyBytes.toString(16)}\r\n`,
        );
        socket.write('x'.repeat(bodyBytes));
        socket.write('\r\nzz\r\n');
        socket.uncork();
      },
      async ({gate, submit, openSockets}) => {
        await submit();
        await pause(50);
        expect(gate.load.running).to.equal(0);
        expect(openSockets.size).to.equal(0);
      },
    );
  });

  const undelivered: Array<[string, string, string]> = [
    ['an unsigned response', 'HTTP/1.1 200 OK\r\n', 'unknown'],
    [
      'a response that states that nothing ran',
      `HTTP/1.1 503 Full\r\n${wireHeaders.notExecuted}: 1\r\n`,
      'rejected',
    ],
    [
      'a refusal that states nothing',
      `HTTP/1.1 503 Full\r\n${SEAL}`,
      'unknown',
    ],
  ];
  for (const [name, head, verdict] of undelivered) {
    it(`guards against losing a slot to ${name} without end`, async () => {
      await withGate(
        socket => flood(socket, `${head}Connection: close\r\n\r\n`),
        async ({gate, submit, openSockets}) => {
          const result = await submit();
          expect(result.verdict).to.equal(verdict);
          await pause(50);
          expect(gate.load.running).to.equal(0);
          expect(openSockets.size).to.equal(0);
        },
      );
    });
  }

  const endless: Array<[string, (socket: net.Socket) => void]> = [
    ['sends nothing', () => {}],
    [
      'sends interim responses without end',
      socket => repeat(socket, 'HTTP/1.1 102 Processing\r\n\r\n'),
    ],
    [
      'sends a head that trickles',
      socket => {
        socket.write('HTTP/1.1 200 OK\r\nA: ');
        repeat(socket, 'x');
      },
    ],
    [
      'sends a small body that trickles',
      socket => {
        socket.write(`HTTP/1.1 200 OK\r\n${SEAL}Connection: close\r\n\r\n`);
        repeat(socket, 'x');
      },
    ],
    [
      'sends a large body that nobody reads',
      socket =>
        flood(
          socket,
          `HTTP/1.1 200 OK\r\n${SEAL}Content-Length: 9000000\r\n\r\n`,
        ),
    ],
  ];
  for (const [name, handle] of endless) {
    for (const isIdempotent of [true, false]) {
      it(`guards against losing a slot to a worker that ${name}, ${isIdempotent ? 'idempotent' : 'not idempotent'}`, async () => {
        await withGate(handle, async ({gate, submit, openSockets}) => {
          void submit({isIdempotent, expiresInMs: 200});
          await pause(100);
          gate.closeExpired();
          await pause(20);
          expect(gate.load.running).to.equal(1);
          await pause(700);
          gate.closeExpired();
          await pause(20);
          expect(gate.load.running).to.equal(0);
          expect(openSockets.size).to.equal(0);
        });
      });
    }
  }
});
