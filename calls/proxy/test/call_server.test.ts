import type {VmId} from '@carobseam/core.types';
import {expect} from 'chai';
import {
  makeEndpoint,
  pause,
  ProxyHarness,
  sendCall,
  unusedPort,
  type CallResult,
} from './proxy_harness.js';

const KEY = `ost-wien.${Date.now().toString(36)}.0123456789abcdef`;
const purchase = {method: 'POST', path: '/tokens/purchase', body: '{}'};

function reasonOf(result: CallResult): string {
  const {headers} = result;
  return `${headers['x-carobseam-refusal']} ${headers['x-carobseam-reason']}`;
}

describe('CallServer', () => {
  let harness: ProxyHarness;

  beforeEach(() => {
    harness = new ProxyHarness();
  });

  afterEach(() => harness.close());

  it('forwards a call with its body, deadline and depth', async () => {
    const upstream = await harness.startUpstream((req, res) => {
      let body = '';
      req.on('data', chunk => (body += chunk));
      req.on('end', () => res.end(JSON.stringify({...req.headers, body})));
    });
    const {port} = await harness.startDaemon(upstream, {id: 'vm-a'});
    const result = await sendCall(port, {
      method: 'POST',
      body: 'question',
      headers: {'x-carobseam-depth': '3', te: 'trailers', connection: 'x-own'},
    });
    const seen = JSON.parse(result.body);
    expect(seen.body).to.equal('question');
    expect(seen['x-carobseam-depth']).to.equal('4');
    expect(Number(seen['x-carobseam-deadline-ms'])).to.be.within(1800, 2000);
    expect(seen).not.to.have.property('te');
    expect(result.headers['x-carobseam-load']).to.match(/^1\/0\/20$/);
    expect(result.headers['x-carobseam-version']).to.equal('1');
  });

  it('streams bodies over 64 KB both ways without loss', async () => {
    const upstream = await harness.startUpstream((req, res) => req.pipe(res));
    const {port} = await harness.startDaemon(upstream, {id: 'vm-a'});
    const body = 'x'.repeat(3_000_000);
    const result = await sendCall(port, {method: 'POST', body});
    expect(result.body.length).to.equal(body.length);
  });

  it('refuses calls beyond the depth limit and malformed headers', async () => {
    const {port} = await harness.startDaemon(1, {id: 'vm-a'});
    const headers = {'x-carobseam-depth': '10'};
    expect(reasonOf(await sendCall(port, {headers}))).to.equal(
      'not-run depth_exceeded',
    );
    const bad = {'x-carobseam-deadline-ms': 'soon'};
    const refused = await sendCall(port, {headers: bad});
    expect(refused.status).to.equal(400);
  });

  it('refuses a truncated small response instead of forwarding it', async () => {
    const upstream = await harness.startUpstream((_req, res) => {
      res.writeHead(200, {'content-length': 100});
      res.write('part', () => res.destroy());
    });
    const {port} = await harness.startDaemon(upstream, {id: 'vm-a'});
    const result = await sendCall(port);
    expect(reasonOf(result)).to.equal('outcome-unknown response_incomplete');
  });

  it('resets the caller connection when a started response is truncated', async () => {
    const upstream = await harness.startUpstream((_req, res) => {
      res.write('part', () => setTimeout(() => res.destroy(), 20));
    });
    const {port} = await harness.startDaemon(upstream, {id: 'vm-a'});
    const result = await sendCall(port);
    expect(result.error).to.be.a('string');
  });

  it('refuses a response that only ends with its connection', async () => {
    const upstream = await harness.startRawUpstream(socket =>
      socket.end('HTTP/1.1 200 OK\r\n\r\npart'),
    );
    const {port} = await harness.startDaemon(upstream, {id: 'vm-a'});
    const result = await sendCall(port);
    expect(reasonOf(result)).to.equal('outcome-unknown response_incomplete');
  });

  it('does not take unsolicited data on an idle connection for a response', async () => {
    const rawResponse = (text: string) =>
      `HTTP/1.1 200 OK\r\ncontent-length: ${text.length}\r\n\r\n${text}`;
    const upstream = await harness.startRawUpstream((socket, connection) => {
      socket.write(rawResponse('right'));
      if (connection === 0) {
        setTimeout(() => socket.write(rawResponse('wrong')), 20);
      }
    });
    const {port} = await harness.startDaemon(upstream, {id: 'vm-a'});
    expect((await sendCall(port)).body).to.equal('right');
    await pause(60);
    expect((await sendCall(port)).body).to.equal('right');
  });

  it('does not reuse a connection whose response came after the deadline', async () => {
    let calls = 0;
    const upstream = await harness.startUpstream((_req, res) => {
      const text = `response ${++calls}`;
      setTimeout(() => res.end(text), calls === 1 ? 150 : 0);
    });
    const {port} = await harness.startDaemon(upstream, {id: 'vm-a'});
    const headers = {'x-carobseam-deadline-ms': '100'};
    const late = await sendCall(port, {headers});
    expect(reasonOf(late)).to.equal('outcome-unknown response_timeout');
    await pause(80);
    expect((await sendCall(port)).body).to.equal('response 2');
  });

  it('cancels the upstream request when its caller disconnects', async () => {
    let cancelled = false;
    const upstream = await harness.startUpstream((_req, res) => {
      res.on('close', () => (cancelled = true));
    });
    const {port, blackboard} = await harness.startDaemon(upstream, {
      id: 'vm-a',
    });
    await sendCall(port, {
      onRequest: request => setTimeout(() => request.destroy(), 50),
    });
    await pause(300);
    expect(cancelled).to.equal(true);
    expect(blackboard.read('localLoad').running).to.equal(0);
  });

  it('reports not-run only if nothing was written to the worker', async () => {
    const down = await harness.startDaemon(await unusedPort(), {id: 'vm-a'});
    const refused = await sendCall(down.port, purchase);
    expect(reasonOf(refused)).to.equal('not-run worker_down');
    const upstream = await harness.startRawUpstream(socket =>
      socket.resetAndDestroy(),
    );
    const resetting = await harness.startDaemon(upstream, {id: 'vm-a'});
    const unknown = await sendCall(resetting.port, purchase);
    expect(reasonOf(unknown)).to.equal('outcome-unknown worker_failed');
    expect(harness.keys.events).to.deep.equal(['release', 'lose']);
  });

  it('does not report not-run for a key that was sent before', async () => {
    const {port, listWorkers} = await harness.startDaemon(1, {id: 'vm-b'});
    listWorkers(makeEndpoint('vm-a', await unusedPort()));
    const resendHeaders = {'idempotency-key': KEY};
    const firstSendHeaders = {...resendHeaders, 'x-carobseam-first-send': '1'};
    const send = async (headers: Record<string, string>) =>
      reasonOf(await sendCall(port, {...purchase, headers}));
    expect(await send(firstSendHeaders)).to.equal('not-run peer_unreachable');
    expect(await send(resendHeaders)).to.equal(
      'outcome-unknown owner_unreachable',
    );
  });

  it('stores the outcome of a keyed call whose caller has disconnected', async () => {
    const upstream = await harness.startUpstream((_req, res) => {
      setTimeout(() => res.end('bought'), 100);
    });
    const {port} = await harness.startDaemon(upstream, {id: 'vm-a'});
    await sendCall(port, {
      ...purchase,
      onRequest: request => setTimeout(() => request.destroy(), 50),
    });
    await pause(100);
    expect(harness.keys.events).to.deep.equal(['complete bought']);
  });

  it('does not forward refusal headers that a worker copied', async () => {
    const upstream = await harness.startUpstream((_req, res) => {
      const relayed = {
        'x-carobseam-refusal': 'not-run',
        'x-carobseam-retried': '1',
      };
      res.writeHead(503, relayed);
      res.end('no');
    });
    const a = await harness.startDaemon(upstream, {id: 'vm-a'});
    const result = await sendCall(a.port);
    expect(result.headers).not.to.have.property('x-carobseam-refusal');
    expect(result.headers).to.have.property('x-carobseam-retried');
  });

  it('retries an idempotent call on another worker', async () => {
    const bad = await harness.startRawUpstream(socket => socket.destroy());
    const good = await harness.startUpstream((_req, res) => res.end('good'));
    const a = await harness.startDaemon(bad, {id: 'vm-a'});
    const b = await harness.startDaemon(good, {id: 'vm-b'});
    a.listWorkers(a.endpoint, b.endpoint);
    const results = await Promise.all(
      Array.from({length: 4}, () => sendCall(a.port)),
    );
    expect(results.map(({body}) => body)).to.deep.equal(Array(4).fill('good'));
  });

  it('retries elsewhere when a worker does not respond in time', async () => {
    const upstream = await harness.startRawUpstream((socket, connection) => {
      if (connection > 0) {
        socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
      }
    });
    const good = await harness.startUpstream((_req, res) => res.end('ok'));
    const policy = {firstByteTimeoutMs: 50};
    const a = await harness.startDaemon(upstream, {id: 'vm-a', policy});
    const b = await harness.startDaemon(good, {id: 'vm-b', policy});
    a.listWorkers(a.endpoint);
    const alone = await sendCall(a.port);
    expect(reasonOf(alone)).to.equal('outcome-unknown response_timeout');
    a.listWorkers(a.endpoint, b.endpoint);
    expect((await sendCall(a.port)).body).to.equal('ok');
  });

  it('guards against not-run after an earlier attempt that may have run', async () => {
    const bad = await harness.startRawUpstream(socket =>
      setTimeout(() => socket.destroy(), 50),
    );
    const a = await harness.startDaemon(bad, {id: 'vm-a'});
    const gone = makeEndpoint('vm-b', await unusedPort());
    const call = sendCall(a.port);
    await pause(20);
    a.listWorkers(a.endpoint, gone);
    expect(reasonOf(await call)).to.equal('outcome-unknown worker_failed');
  });

  it('keeps waiting for a peer that still works on the call', async () => {
    const upstream = await harness.startUpstream((_req, res) => {
      setTimeout(() => res.end('slow'), 200);
    });
    const policy = {firstByteTimeoutMs: 50};
    const a = await harness.startDaemon(1, {id: 'vm-a', policy});
    const b = await harness.startDaemon(upstream, {id: 'vm-b'});
    a.listWorkers(b.endpoint);
    expect((await sendCall(a.port)).body).to.equal('slow');
  });

  it('guards against breaking off a call because its peer is short of processor time', async () => {
    const peerPort = await harness.startUpstream((_req, res) => {
      setTimeout(() => res.end('late'), 1500);
    });
    const policy = {firstByteTimeoutMs: 50, timeoutMs: 5000};
    const a = await harness.startDaemon(1, {id: 'vm-a', policy});
    a.listWorkers({...a.endpoint, vmId: 'vm-b' as VmId, callersPort: peerPort});
    expect((await sendCall(a.port)).body).to.equal('late');
  }).timeout(6000);

  it('guards against breaking off a call that the worker needs longer for than the first-byte timeout', async () => {
    const upstream = await harness.startUpstream((_req, res) => {
      setTimeout(() => res.end('slow'), 200);
    });
    const policy = {firstByteTimeoutMs: 50};
    const a = await harness.startDaemon(upstream, {id: 'vm-a', policy});
    expect((await sendCall(a.port)).body).to.equal('slow');
  });

  it('guards against ending a call before its deadline because of a slow worker', async () => {
    const slow = await harness.startUpstream((_req, res) => {
      setTimeout(() => res.end('slow'), 200);
    });
    const policy = {firstByteTimeoutMs: 50, retryBudgetPercent: 0};
    const a = await harness.startDaemon(slow, {id: 'vm-a', policy});
    const b = await harness.startDaemon(slow, {id: 'vm-b', policy});
    a.listWorkers(a.endpoint);
    expect((await sendCall(a.port)).body).to.equal('slow');
    expect((await sendCall(a.port, purchase)).body).to.equal('slow');
    a.listWorkers(b.endpoint);
    expect((await sendCall(a.port)).body).to.equal('slow');
  });

  it('guards against ending a call before its deadline because of a paused peer', async () => {
    const paused = await harness.startRawUpstream((socket, connection) => {
      const response = 'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nslow';
      setTimeout(() => connection === 0 && socket.write(response), 1300);
    });
    const policy = {firstByteTimeoutMs: 50};
    const a = await harness.startDaemon(1, {id: 'vm-a', policy});
    a.listWorkers(makeEndpoint('vm-b', paused));
    expect((await sendCall(a.port)).body).to.equal('slow');
  });

  it('guards against ending a call before its deadline because its peer shuts down', async () => {
    const slow = await harness.startUpstream((_req, res) => {
      setTimeout(() => res.end('slow'), 400);
    });
    const a = await harness.startDaemon(1, {
      id: 'vm-a',
      policy: {firstByteTimeoutMs: 150},
    });
    const b = await harness.startDaemon(slow, {id: 'vm-b'});
    a.listWorkers(b.endpoint);
    const running = sendCall(a.port);
    await pause(50);
    b.blackboard.write('lifecycle', 'leaving');
    void b.server.close();
    expect((await running).body).to.equal('slow');
  });

  it('retries elsewhere when the worker of a peer does not respond in time', async () => {
    const silent = await harness.startRawUpstream(() => {});
    const good = await harness.startUpstream((_req, res) => res.end('good'));
    const policy = {firstByteTimeoutMs: 50};
    const a = await harness.startDaemon(1, {id: 'vm-a', policy});
    const b = await harness.startDaemon(silent, {id: 'vm-b', policy});
    const c = await harness.startDaemon(good, {id: 'vm-c', policy});
    a.listWorkers(b.endpoint);
    const call = sendCall(a.port);
    await pause(20);
    a.listWorkers(b.endpoint, c.endpoint);
    expect((await call).body).to.equal('good');
  });

  it('refuses a call at once when the queue is full', async () => {
    const upstream = await harness.startUpstream((_req, res) => {
      setTimeout(() => res.end('ok'), 200);
    });
    const {port} = await harness.startDaemon(upstream, {
      id: 'vm-a',
      policy: {queueLength: 1},
      capacity: {slots: 1},
    });
    const startMs = performance.now();
    const calls = Array.from({length: 3}, () => sendCall(port));
    const refused = await Promise.race(calls);
    expect(reasonOf(refused)).to.equal('not-run queue_full');
    expect(refused.status).to.equal(429);
    expect(performance.now() - startMs).to.be.below(150);
    const results = await Promise.all(calls);
    expect(results.filter(({body}) => body === 'ok')).to.have.length(2);
  });

  it('reports the requests in flight at a crash of the worker', async () => {
    const upstream = await harness.startRawUpstream(socket =>
      socket.resetAndDestroy(),
    );
    const a = await harness.startDaemon(upstream, {id: 'vm-a'});
    await sendCall(a.port);
    await pause(60);
    expect(harness.keys.crashes).to.deep.equal([]);
    const {createServer} = await import('node:net');
    const crashing = createServer(socket => {
      socket.on('data', () => {
        crashing.close();
        socket.resetAndDestroy();
      });
    });
    await new Promise<void>(resolve =>
      crashing.listen(0, '127.0.0.1', resolve),
    );
    const address = crashing.address() as {port: number};
    const b = await harness.startDaemon(address.port, {id: 'vm-b'});
    await sendCall(b.port);
    await pause(60);
    expect(harness.keys.crashes).to.have.length(1);
    harness.keys.hasMarks = true;
    expect(reasonOf(await sendCall(b.port))).to.equal('not-run crash_suspect');
  });

  it('completes calls in flight during a shutdown and refuses new ones', async () => {
    const upstream = await harness.startUpstream((_req, res) => {
      setTimeout(() => res.end('finished'), 150);
    });
    const {port, server, blackboard} = await harness.startDaemon(upstream, {
      id: 'vm-a',
    });
    const running = sendCall(port);
    await pause(50);
    blackboard.write('lifecycle', 'leaving');
    const closed = server.close();
    const refused = await sendCall(port);
    expect(reasonOf(refused)).to.equal('not-run leaving');
    expect((await running).body).to.equal('finished');
    await closed;
    expect((await sendCall(port)).error).to.match(/ECONNREFUSED/);
  });

  it('sends no new calls to a peer that is shutting down', async () => {
    const upstream = await harness.startUpstream((_req, res) => res.end('ok'));
    const a = await harness.startDaemon(upstream, {id: 'vm-a'});
    const b = await harness.startDaemon(upstream, {id: 'vm-b'});
    a.listWorkers(a.endpoint, b.endpoint);
    b.blackboard.write('lifecycle', 'leaving');
    for (let call = 0; call < 20; call++) {
      expect((await sendCall(a.port)).body).to.equal('ok');
    }
    const refusals = await b.metrics.total('carobseam_refusals_total');
    expect(refusals).to.be.at.most(1);
  });
});
