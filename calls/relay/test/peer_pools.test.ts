import {PeerPools} from '@carobseam/calls.relay';
import {ManualClock} from '@carobseam/core.clock';
import {wireHeaders} from '@carobseam/platform.adapter';
import {expect} from 'chai';
import http from 'node:http';
import type {AddressInfo} from 'node:net';

const VM = '127.0.0.62';
const BEYOND_IDLE_TTL_MS = 60_000;

describe('PeerPools', () => {
  it('guards against keeping a pool for every VM that was ever used', async () => {
    const clock = new ManualClock();
    const openResponses: http.ServerResponse[] = [];
    const server = http.createServer((request, response) => {
      const id = request.headers[wireHeaders.requestId]!;
      response.setHeader(wireHeaders.requestId, id);
      openResponses.push(response);
    });
    await new Promise<void>(resolve => {
      server.listen(0, VM, resolve);
    });
    const pools = new PeerPools(clock, (server.address() as AddressInfo).port);
    const exchange = pools.poolFor(VM).exchange({
      method: 'GET',
      url: '/',
      headers: ['host', 'hints.example', wireHeaders.requestId, 'id-1'],
      body: Buffer.alloc(0),
      requestId: 'id-1',
    });
    while (openResponses.length === 0) {
      await new Promise(resolve => setTimeout(resolve, 5));
    }
    clock.advance(BEYOND_IDLE_TTL_MS);
    pools.closeExpired();
    expect(pools.size, 'a request is in flight').to.equal(1);
    openResponses[0]!.end('done');
    expect((await exchange.result).kind).to.equal('response');
    // The connection becomes idle in the next turn of the event loop, when no
    // extra bytes have arrived.
    await new Promise(resolve => setTimeout(resolve, 20));
    clock.advance(BEYOND_IDLE_TTL_MS);
    pools.closeExpired();
    await new Promise(resolve => setTimeout(resolve, 50));
    pools.closeExpired();
    expect(pools.size).to.equal(0);
    pools.close();
    server.close();
    server.closeAllConnections();
  });
});
