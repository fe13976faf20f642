import {connectRaw, until} from '@carobseam/testing.fixtures';
import {expect} from 'chai';
import net, {type AddressInfo} from 'node:net';

const CASES = {
  'a reset as an end': {
    close: (socket: net.Socket) => socket.resetAndDestroy(),
    isReset: true,
  },
  'an end as a reset': {
    close: (socket: net.Socket) => socket.destroy(),
    isReset: false,
  },
};

describe('connectRaw', () => {
  for (const [mistake, {close, isReset}] of Object.entries(CASES)) {
    it(`guards against reading ${mistake} when data arrives with it`, async () => {
      const accepted: net.Socket[] = [];
      const server = net.createServer(socket => accepted.push(socket));
      await new Promise<void>(resolve => {
        server.listen(0, '127.0.0.1', resolve);
      });
      const {port} = server.address() as AddressInfo;
      const connection = await connectRaw('127.0.0.1', port);
      await until(() => accepted.length === 1);
      accepted[0]!.write('part');
      close(accepted[0]!);
      await connection.closed;
      expect(connection.received()).to.equal('part');
      expect(connection.isReset()).to.equal(isReset);
      server.close();
    });
  }
});
