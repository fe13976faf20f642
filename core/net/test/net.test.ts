import {CarobseamError} from '@carobseam/core.errors';
import {splitAddress, startListening} from '@carobseam/core.net';
import {expect} from 'chai';
import net from 'node:net';

const HOST = '127.0.0.1';

describe('splitAddress', () => {
  it('separates host and port', () => {
    expect(splitAddress('10.1.0.35:8141')).to.deep.equal({
      host: '10.1.0.35',
      port: 8141,
    });
  });
});

describe('startListening', () => {
  const start = (server: net.Server, port: number) =>
    startListening({
      server,
      listen: done => server.listen(port, HOST, done),
      endpoint: `test endpoint ${HOST}:${port}`,
      hint: 'choose another port',
    });

  it('reports the endpoint and the hint if the port is in use', async () => {
    const [first, second] = [net.createServer(), net.createServer()];
    await start(first, 0);
    const {port} = first.address() as net.AddressInfo;
    let failure: unknown;
    await start(second, port).catch(error => (failure = error));
    first.close();
    expect(failure).to.be.instanceOf(CarobseamError);
    expect((failure as CarobseamError).code).to.equal('LISTEN_FAILED');
    expect((failure as CarobseamError).hint).to.equal('choose another port');
    expect((failure as CarobseamError).message).to.include(
      `cannot listen on test endpoint ${HOST}:${port}`,
    );
  });
});
