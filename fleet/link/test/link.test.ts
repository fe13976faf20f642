import {expect} from 'chai';
import {ManualClock, SystemClock} from '@carobseam/core.clock';
import {silentLogger} from '@carobseam/core.logger';
import {Metrics} from '@carobseam/core.metrics';
import {
  FleetAuthenticator,
  LinkClient,
  LinkServer,
  type PeerLinkHandlers,
  type PullRequest,
} from '@carobseam/fleet.link';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {WebSocket, WebSocketServer} from 'ws';
import type {VmId} from '@carobseam/core.types';

const ADDRESS = '127.0.0.1';
const OLD_KEY = {id: 'k1', secret: 'a shared test secret'};
const NEW_KEY = {id: 'k2', secret: 'another shared secret'};
const clock = new SystemClock();

const handlers: PeerLinkHandlers = {
  push: async () => ({outcome: 'applied'}),
  pull: async () => ({outcome: 'nothing_newer'}),
  announce: async () => ({version: 1}),
  sendVmList: async () => ({outcome: 'held'}),
  notify: async () => {},
  getState: async () => ({
    vmId: 'vm-1' as VmId,
    version: 1,
    highestSeenVersion: 1,
    lastVersionOfAsker: 0,
    members: [],
  }),
};
const pullRequest: PullRequest = {heldVersion: 1};

describe('link', () => {
  const cleanups: Array<() => unknown> = [];
  afterEach(async () => {
    for (const cleanup of cleanups.splice(0).reverse()) {
      await cleanup();
    }
  });

  function authenticatorWith(keys = [OLD_KEY]): FleetAuthenticator {
    return new FleetAuthenticator({keys, clock});
  }

  function createClient(
    options: {authenticator?: FleetAuthenticator; clock?: ManualClock} = {},
  ) {
    const metrics = new Metrics();
    const {authenticator = authenticatorWith()} = options;
    const client = new LinkClient({
      authenticator,
      metrics,
      clock: options.clock ?? clock,
    });
    cleanups.push(() => client.close());
    return {client, metrics};
  }

  async function startServer(serverHandlers = handlers) {
    const port = await freePort();
    const metrics = new Metrics();
    const authenticator = authenticatorWith();
    const server = new LinkServer({
      address: ADDRESS,
      port,
      handlers: serverHandlers,
      authenticator,
      metrics,
      clock,
      logger: silentLogger,
    });
    await server.start();
    cleanups.push(() => server.close());
    const peer = {address: ADDRESS, fleetPort: port};
    return {peer, metrics, authenticator};
  }

  async function startSilentPeer(reply?: object) {
    const port = await freePort();
    const options = {host: ADDRESS, port, autoPong: false};
    const server = new WebSocketServer(options);
    await once(server, 'listening');
    server.on('connection', socket =>
      socket.on('message', () => reply && socket.send(JSON.stringify(reply))),
    );
    cleanups.push(() => {
      server.clients.forEach(socket => socket.terminate());
      server.close();
    });
    return {server, peer: {address: ADDRESS, fleetPort: port}};
  }

  it('guards against counting the bytes of a connection only when it closes', async () => {
    const {peer, metrics: received} = await startServer();
    const {client, metrics: sent} = createClient();
    await client.pull(peer, pullRequest);
    await sleep(1100);
    const name = 'carobseam_control_bytes_total';
    const labels = {direction: 'out', kind: 'link'};
    expect(await sent.total(name, labels)).to.be.above(200);
    expect(await sent.total(name, labels)).to.equal(
      await received.total(name, {...labels, direction: 'in'}),
    );
  });

  it('guards against a request that hangs on an unresponsive connection', async () => {
    const manualClock = new ManualClock();
    const {client} = createClient({clock: manualClock});
    const {server, peer} = await startSilentPeer();
    const request = client.pull(peer, pullRequest).then(
      () => 'replied',
      error => error.code,
    );
    await once(server, 'connection');
    await sleep(50);
    manualClock.advance(300);
    await sleep(20);
    manualClock.advance(1500);
    expect(await request).to.equal('LINK_FAILED');
    const connected = once(server, 'connection');
    void client.pull(peer, pullRequest).catch(() => {});
    await connected;
  });

  it('guards against idle connections that are never closed', async () => {
    const manualClock = new ManualClock();
    const {client} = createClient({clock: manualClock});
    const {server, peer} = await startSilentPeer({
      id: 1,
      result: {type: 'data', data: {outcome: 'nothing_newer'}},
    });
    await client.pull(peer, pullRequest);
    manualClock.advance(2 * 60_000);
    await sleep(50);
    expect(server.clients.size).to.equal(1);
    manualClock.advance(2 * 60_000);
    await sleep(50);
    expect(server.clients.size).to.equal(0);
  });

  it('guards against a busy or unresponsive peer that delays others', async () => {
    const {peer: silentPeer} = await startSilentPeer();
    const pull = () =>
      sleep(500).then(() => ({outcome: 'nothing_newer'}) as const);
    const {peer: busyPeer} = await startServer({...handlers, pull});
    const {peer} = await startServer();
    const {client} = createClient();
    void client.pull(silentPeer, pullRequest).catch(() => {});
    void client.pull(busyPeer, pullRequest).catch(() => {});
    const replied = client.pull(peer, pullRequest).then(() => true);
    expect(await Promise.race([replied, sleep(400)])).to.equal(true);
  });

  it('keeps a connection to a peer that is slow but responds to pings', async () => {
    const pull = () =>
      sleep(2200).then(() => ({outcome: 'nothing_newer'}) as const);
    const {peer} = await startServer({...handlers, pull});
    const {client} = createClient();
    const reply = await client.pull(peer, pullRequest);
    expect(reply.outcome).to.equal('nothing_newer');
  });

  it('guards against retrying a refused connection without reporting an error', async () => {
    const {client} = createClient();
    const peer = {address: ADDRESS, fleetPort: await freePort()};
    const request = client.pull(peer, pullRequest).catch(error => error.code);
    expect(await Promise.race([request, sleep(500)])).to.equal('LINK_FAILED');
  });

  it('guards against accepting an invalid reply', async () => {
    const result = {type: 'data', data: {outcome: 'unknown'}};
    const {peer} = await startSilentPeer({id: 1, result});
    const {client, metrics} = createClient();
    const code = await client.pull(peer, pullRequest).catch(e => e.code);
    expect(code).to.equal('LINK_FAILED');
    const name = 'carobseam_messages_dropped_total';
    const labels = {reason: 'link_invalid_reply'};
    expect(await metrics.total(name, labels)).to.equal(1);
  });

  it('guards against accepting malformed, oversized and unauthenticated messages', async () => {
    const {peer, metrics} = await startServer();
    const audience = `${peer.address}:${peer.fleetPort}`;
    const sendRaw = async (data: Buffer, authorization: string) => {
      const options = {headers: {authorization}};
      const socket = new WebSocket(`ws://${audience}/`, options);
      cleanups.push(() => socket.terminate());
      socket.on('open', () => socket.send(data));
      socket.on('error', () => {});
      await sleep(150);
    };
    const sign = () => authenticatorWith().createCredentials(audience);
    await sendRaw(Buffer.from([0xc1, 1, 2]), sign());
    await sendRaw(Buffer.alloc(4_000_001), sign());
    await sendRaw(
      Buffer.alloc(1),
      authenticatorWith([NEW_KEY]).createCredentials(audience),
    );
    const usedCredentials = sign();
    await sendRaw(Buffer.alloc(0), usedCredentials);
    await sendRaw(Buffer.alloc(0), usedCredentials);
    const {client} = createClient();
    const invalid = {heldVersion: -1} as PullRequest;
    await client.pull(peer, invalid).catch(() => {});
    const countDropped = (reason: string) =>
      metrics.total('carobseam_messages_dropped_total', {reason});
    expect(await countDropped('link_malformed')).to.equal(2);
    expect(await countDropped('link_oversized')).to.equal(1);
    expect(await countDropped('link_invalid')).to.equal(1);
    expect(await countDropped('link_unauthenticated')).to.equal(2);
  });

  it('guards against a restart being needed to replace a key', async () => {
    const {peer, authenticator} = await startServer();
    const newKeyAuthenticator = authenticatorWith([NEW_KEY]);
    const {client} = createClient({authenticator: newKeyAuthenticator});
    const errorCode = await client.pull(peer, pullRequest).catch(e => e.code);
    expect(errorCode).to.equal('LINK_FAILED');
    authenticator.setKeys([OLD_KEY, NEW_KEY]);
    expect((await client.pull(peer, pullRequest)).outcome).to.be.a('string');
    const signedPayload = newKeyAuthenticator.signPayload(
      'delta',
      Buffer.of(1),
    );
    expect(authenticator.verifyPayload('delta', signedPayload)).to.not.equal(
      undefined,
    );
    expect(authenticator.verifyPayload('vm_list', signedPayload)).to.equal(
      undefined,
    );
    authenticator.setKeys([OLD_KEY]);
    expect(authenticator.verifyPayload('delta', signedPayload)).to.equal(
      undefined,
    );
  });
});

async function freePort(): Promise<number> {
  const server = createServer().listen(0, ADDRESS);
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}
