import {ConnectionPool, type ExchangeResult} from '@carobseam/calls.exchange';
import {SystemClock} from '@carobseam/core.clock';
import {expect} from 'chai';
import {Readable} from 'node:stream';
import {framedResponse, startRawWorker} from './raw_worker.js';

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

/** Reads a response to its end and returns its status, or why it failed. */
async function readStatus(result: ExchangeResult): Promise<number | string> {
  if (result.kind !== 'response') {
    return result.reason;
  }
  if (result.body instanceof Readable) {
    await result.body.resume().toArray();
  }
  return result.status;
}

describe('ConnectionPool with streamed responses', () => {
  it('guards against reusing a connection whose reading a large body has paused', async () => {
    const worker = await startRawWorker((socket, id) => {
      socket.write(framedResponse(id, 'x'.repeat(320 * 1024)));
    });
    const pool = createPool(worker.address);
    const send = (id: string) =>
      pool.exchange({
        method: 'GET',
        url: '/',
        headers: ['Host', 'a.example', 'X-Request-Id', id],
        body: Buffer.alloc(0),
        requestId: id,
      }).result;
    try {
      for (const id of ['1', '2', '3']) {
        const result = await send(id);
        // The whole body arrives before its receiver reads it.
        await new Promise(resolve => setTimeout(resolve, 50));
        expect(await readStatus(result)).to.equal(200);
        await new Promise(resolve => setTimeout(resolve, 5));
      }
      expect(worker.connectionCount()).to.equal(1);
    } finally {
      pool.close();
      await worker.close();
    }
  });
});
