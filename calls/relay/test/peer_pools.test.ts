import {PeerPools} from '@carobseam/calls.relay';
import {ManualClock} from '@carobseam/core.clock';
import {wireHeaders} from '@carobseam/platform.adapter';
import {expect} from 'chai';
import http from 'node:http';
import type {AddressInfo} from 'node:net';

const VM = '127.0.0.62';
const LONG_MS = 60_000; // above the time for which idle connections are kept

describe('PeerPools', () => {
  it('guards against pools that grow with every VM that ever was', async () => {
    const clock = new ManualClock();
    const running: http.ServerResponse[] = [];
    const server = http.createServer((request, response) => {
      const id = request.headers[wireHeaders.requestId]!;
      response.setHeader(wireHeaders.requestId, id);
      running.push(response);
    });
    await new Promise<void>(resolve => {
      server.listen(0, VM, resolve);
    });
    const pools = new PeerPools(clock, (server.address() as AddressInfo).port);
    const exchange = pools.to(VM).exchange({
      method: 'GET',
      url: '/',
      headers: ['host', 'hints.example', wireHeaders.requestId, 'id-1'],
      body: Buffer.alloc(0),
      requestId: 'id-1',
    });
    while (running.length === 0) {
      await new Promise(resolve => setTimeout(resolve, 5));
    }
    clock.advance(LONG_MS);
    pools.closeExpired();
    expect(pools.size, 'a request is under way').to.equal(1);
    running[0]!.end('done');
    expect((await exchange.result).kind).to.equal('response');
    // The connection is idle once the next turn shows no extra bytes.
    await new Promise(resolve => setTimeout(resolve, 20));
    clock.advance(LONG_MS);
    pools.closeExpired();
    await new Promise(resolve => setTimeout(resolve, 50));
    pools.closeExpired();
    expect(pools.size).to.equal(0);
    pools.close();
    server.close();
    server.closeAllConnections();
  });
});
