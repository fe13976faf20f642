import {
  ConnectionPool,
  ResponseBuffers,
  type ExchangeRequest,
  type ExchangeResult,
} from '@carobseam/calls.exchange';
import {SystemClock} from '@carobseam/core.clock';
import {expect} from 'chai';
import {Readable} from 'node:stream';
import {framedResponse, startRawWorker} from './raw_worker.js';

function createPool(
  address: string,
  buffers?: ResponseBuffers,
): ConnectionPool {
  return new ConnectionPool({
    clock: new SystemClock(),
    address,
    connectTimeoutMs: 500,
    idleTtlMs: 5000,
    maxIdle: 4,
    requestIdHeader: 'x-request-id',
    buffers,
  });
}

function createRequest(id: string): ExchangeRequest {
  return {
    method: 'GET',
    url: '/',
    headers: ['Host', 'a.example', 'X-Request-Id', id],
    body: Buffer.alloc(0),
    requestId: id,
    silenceWatch: {intervalMs: 2000, onSilent: () => 'end'},
  };
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
  it('guards against memory that grows with the number of large responses', async () => {
    const worker = await startRawWorker((socket, id) => {
      socket.write(framedResponse(id, 'x'.repeat(200 * 1024)));
    });
    const buffers = new ResponseBuffers(1024 * 1024);
    const pool = createPool(worker.address, buffers);
    const exchanges = Array.from({length: 40}, (_, index) =>
      pool.exchange(createRequest(String(index))),
    );
    let mostBytes = 0;
    const timer = setInterval(() => {
      mostBytes = Math.max(mostBytes, buffers.usedBytes);
    }, 1);
    try {
      const results = await Promise.all(exchanges.map(({result}) => result));
      const statuses = await Promise.all(results.map(readStatus));
      expect(statuses).to.deep.equal(new Array(40).fill(200));
      // One read of each connection may pass the limit.
      expect(mostBytes).to.be.at.most(1024 * 1024 + 40 * 64 * 1024);
      expect(buffers.usedBytes).to.equal(0);
    } finally {
      clearInterval(timer);
      pool.close();
      await worker.close();
    }
  });

  it('guards against reusing a connection whose reading a large body has paused', async () => {
    const worker = await startRawWorker((socket, id) => {
      socket.write(framedResponse(id, 'x'.repeat(320 * 1024)));
    });
    const pool = createPool(worker.address);
    const send = (id: string) => pool.exchange(createRequest(id)).result;
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
