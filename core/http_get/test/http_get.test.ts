import {httpGet} from '@carobseam/core.http_get';
import {expect} from 'chai';
import http from 'node:http';
import type {AddressInfo} from 'node:net';

async function getFromServer(
  respond: (response: http.ServerResponse) => void,
): Promise<string> {
  const server = http.createServer((_request, response) => respond(response));
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  try {
    const {status, body} = await httpGet({
      address: `127.0.0.1:${port}`,
      path: '/',
      timeoutMs: 100,
      maxBytes: 1000,
    });
    return `${status} ${body.toString()}`;
  } catch (error) {
    return (error as Error).message;
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

describe('httpGet', () => {
  it('returns a complete response', async () => {
    expect(await getFromServer(response => response.end('body'))).to.equal(
      '200 body',
    );
  });

  it('guards against a server that never responds', async () => {
    expect(await getFromServer(() => {})).to.equal('no response within 100 ms');
  });

  it('guards against taking a long response over a slow link for none', async () => {
    const sendSlowly = (response: http.ServerResponse) => {
      let parts = 0;
      const timer = setInterval(() => {
        response.write('x');
        if (++parts === 5) {
          clearInterval(timer);
          response.end();
        }
      }, 50);
    };
    expect(await getFromServer(sendSlowly)).to.equal('200 xxxxx');
  });

  it('guards against a response that stops before its end', async () => {
    const stop = (response: http.ServerResponse) => {
      response.setHeader('Content-Length', '10');
      response.write('part');
    };
    expect(await getFromServer(stop)).to.equal('response paused for 1000 ms');
  });

  it('guards against a response that goes on without end', async function () {
    this.timeout(15_000);
    const trickle = (response: http.ServerResponse) => {
      const timer = setInterval(() => response.write('x'), 50);
      response.once('close', () => clearInterval(timer));
    };
    expect(await getFromServer(trickle)).to.equal(
      'response was incomplete after 10000 ms',
    );
  });

  it('guards against an incomplete response', async () => {
    const closeEarly = (response: http.ServerResponse) => {
      response.setHeader('Content-Length', '10');
      response.write('part');
      setTimeout(() => response.destroy(), 10);
    };
    expect(await getFromServer(closeEarly)).to.equal('response was incomplete');
  });

  it('guards against a response that is too large', async () => {
    const large = (response: http.ServerResponse) =>
      response.end('x'.repeat(2000));
    expect(await getFromServer(large)).to.equal('response exceeds 1000 bytes');
  });

  it('guards against interim responses without end', async () => {
    const flood = (response: http.ServerResponse) => {
      const {socket} = response;
      const timer = setInterval(
        () => socket!.write('HTTP/1.1 102 Processing\r\n\r\n'.repeat(500)),
        2,
      );
      socket!.once('close', () => clearInterval(timer));
    };
    expect(await getFromServer(flood)).to.equal(
      'more than 100 interim responses',
    );
  });

  it('guards against taking a delay of the own event loop for a server that does not respond', async () => {
    const result = getFromServer(response => {
      response.end('body');
      // The response is in the socket before the timer is due, but not read.
      setImmediate(() => {
        const endMs = Date.now() + 250;
        while (Date.now() < endMs);
      });
    });
    expect(await result).to.equal('200 body');
  });
});
