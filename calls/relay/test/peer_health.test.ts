import {PeerHealth, type ProbeResult} from '@carobseam/calls.relay';
import {ManualClock, SystemClock} from '@carobseam/core.clock';
import {expect} from 'chai';
import http from 'node:http';
import net from 'node:net';

const VM = '127.0.0.61';
const PROBE_CYCLE_MS = 450; // one probe and the interval after it

/**
 * Creates a PeerHealth for a port on which nobody listens, and records its
 * changes.
 */
async function createHealth() {
  const listener = net.createServer();
  await new Promise<void>(resolve => {
    listener.listen(0, VM, resolve);
  });
  const {port} = listener.address() as net.AddressInfo;
  await new Promise(resolve => listener.close(resolve));
  const changes: string[] = [];
  const health = new PeerHealth({
    clock: new SystemClock(),
    port,
    onChange: (vmAddress, change) => changes.push(`${vmAddress} ${change}`),
  });
  return {health, changes, port};
}

/** Creates a PeerHealth whose probes find no connection until told otherwise. */
function createProbedHealth() {
  const clock = new ManualClock();
  let result: ProbeResult = 'notConnected';
  const health = new PeerHealth({
    clock,
    port: 1,
    onChange: () => {},
    probe: () => Promise.resolve(result),
  });
  const probeAll = async () => {
    for (let passedMs = 0; passedMs < 2000; passedMs += 100) {
      await new Promise(resolve => setImmediate(resolve));
      clock.advance(100);
    }
  };
  return {
    health,
    probeAll,
    setResult: (next: ProbeResult) => (result = next),
  };
}

const waitForProbe = () =>
  new Promise(resolve => setTimeout(resolve, PROBE_CYCLE_MS));

describe('PeerHealth', () => {
  it('guards against probing a VM that has no worker any more', async () => {
    const {health, changes, port} = await createHealth();
    health.markDown(VM);
    health.retainOnly(new Set([VM]));
    expect(health.isDown(VM)).to.equal(true);
    health.retainOnly(new Set());
    expect(health.isDown(VM)).to.equal(false);
    const probes: net.Socket[] = [];
    const listener = net.createServer(socket => probes.push(socket));
    await new Promise<void>(resolve => {
      listener.listen(port, VM, resolve);
    });
    await waitForProbe();
    expect(probes).to.deep.equal([]);
    expect(changes).to.deep.equal([`${VM} down`, `${VM} left`]);
    health.close();
    listener.close();
  });

  it('guards against using a VM again whose kernel accepts connections but whose relay does not respond', async () => {
    const {health, changes, port} = await createHealth();
    health.markDown(VM);
    const sockets = new Set<net.Socket>();
    const listener = net.createServer(socket => sockets.add(socket));
    await new Promise<void>(resolve => {
      listener.listen(port, VM, resolve);
    });
    await waitForProbe();
    await waitForProbe();
    expect(sockets.size).to.be.above(0);
    expect(changes).to.deep.equal([`${VM} down`]);
    expect(health.hasEnded(VM)).to.equal(false);
    health.close();
    sockets.forEach(socket => socket.destroy());
    listener.close();
  });

  it('guards against waiting for a VM that refuses connections', async () => {
    const {health, changes} = await createHealth();
    health.markDown(VM);
    expect(health.hasEnded(VM)).to.equal(false);
    await waitForProbe();
    await waitForProbe();
    await waitForProbe();
    expect(health.hasEnded(VM)).to.equal(true);
    expect(changes).to.deep.equal([`${VM} down`, `${VM} ended`]);
    health.close();
  });

  it('guards against waiting for other VMs while this one is cut off', async () => {
    const {health, probeAll, setResult} = createProbedHealth();
    ['a', 'b', 'c'].forEach(vm => health.markDown(vm));
    expect(health.isIsolated).to.equal(false);
    await probeAll();
    expect([health.isIsolated, health.isCutOff('d')]).to.deep.equal([
      true,
      true,
    ]);
    setResult('answered');
    await probeAll();
    expect([health.isIsolated, health.isCutOff('a')]).to.deep.equal([
      false,
      false,
    ]);
  });

  it('guards against taking the loss of other VMs for an isolation of this one', async () => {
    for (const result of ['refused', 'answered'] as const) {
      const {health, probeAll, setResult} = createProbedHealth();
      setResult(result);
      ['a', 'b', 'c', 'd'].forEach(vm => health.markDown(vm));
      await probeAll();
      expect(health.isIsolated).to.equal(false);
    }
    const {health, probeAll} = createProbedHealth();
    ['a', 'b'].forEach(vm => health.markDown(vm));
    await probeAll();
    expect(health.isIsolated).to.equal(false);
  });

  it('marks a VM as up once its relay responds', async () => {
    const {health, changes, port} = await createHealth();
    health.markDown(VM);
    const listener = http.createServer((_request, response) => response.end());
    await new Promise<void>(resolve => {
      listener.listen(port, VM, resolve);
    });
    await waitForProbe();
    expect(changes).to.deep.equal([`${VM} down`, `${VM} up`]);
    health.close();
    listener.close();
  });
});
