import {expect} from 'chai';
import {createDaemonBlackboard} from '@carobseam/core.blackboard';
import {SeededRandom, SystemClock} from '@carobseam/core.clock';
import {silentLogger} from '@carobseam/core.logger';
import {Metrics} from '@carobseam/core.metrics';
import type {DataCentreName, VmId} from '@carobseam/core.types';
import {
  DisseminationController,
  VersionApplier,
  type DisseminationProfile,
} from '@carobseam/fleet.dissemination';
import {
  FleetAuthenticator,
  LinkClient,
  LinkServer,
} from '@carobseam/fleet.link';
import {
  makeLargeDeclarations,
  makeMember,
  makeVersion,
} from '@carobseam/testing.fixtures';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

const ADDRESS = '127.0.0.1';
const clock = new SystemClock();
const declarations = makeLargeDeclarations({
  services: 53,
  routesPerService: 20,
  dataCentres: ['ost-wien'],
});
const baseContents = makeVersion(1, declarations).contents;
const changedContents = makeVersion(2, {
  ...declarations,
  resources: declarations.resources.map(resource =>
    resource.name === 'service-7-a' && resource.kind === 'routes'
      ? {
          ...resource,
          routes: resource.routes.map((route, index) =>
            index === 3 ? {...route, path: '/changed/operation/*'} : route,
          ),
        }
      : resource,
  ),
}).contents;

describe('link traffic of one changed route in a large configuration', () => {
  const cleanups: Array<() => unknown> = [];
  afterEach(async () => {
    for (const cleanup of cleanups.splice(0).reverse()) {
      await cleanup();
    }
  });

  /** Starts two daemons on loopback that are each other's only neighbour. */
  async function startTwoDaemons(profile: DisseminationProfile) {
    const ports = [await freePort(), await freePort()];
    const members = ports.map((fleetPort, index) =>
      makeMember({vmId: `vm-${index}` as VmId, address: ADDRESS, fleetPort}),
    );
    return Promise.all(
      members.map(async member => {
        const metrics = new Metrics();
        const blackboard = createDaemonBlackboard();
        blackboard.write('members', new Map(members.map(m => [m.vmId, m])));
        const common = {blackboard, metrics, clock, logger: silentLogger};
        const authenticator = new FleetAuthenticator({
          keys: [{id: 'k1', secret: 'a shared test secret'}],
          clock,
        });
        const link = new LinkClient({authenticator, ...common});
        const dissemination = new DisseminationController({
          ...common,
          vmId: member.vmId,
          dataCentre: 'ost-wien' as DataCentreName,
          profile,
          applier: new VersionApplier({...common, minimumVersion: 0}),
          link,
          authenticator: authenticator,
          random: new SeededRandom(1),
        });
        const server = new LinkServer({
          ...common,
          address: ADDRESS,
          port: member.fleetPort,
          authenticator,
          handlers: {
            push: request => dissemination.handlePush(request),
            pull: request => dissemination.handlePull(request),
            announce: request => dissemination.handleAnnounce(request),
            sendVmList: async () => ({outcome: 'held'}),
            notify: async () => {},
            getState: async () => {
              throw new Error('not used');
            },
          },
        });
        await server.start();
        cleanups.push(() => dissemination.close());
        cleanups.push(() => server.close());
        cleanups.push(() => link.close());
        return {dissemination, blackboard, metrics};
      }),
    );
  }

  async function measureSentBytes(
    profile: DisseminationProfile,
  ): Promise<number> {
    const daemons = await startTwoDaemons(profile);
    const [origin, receiver] = daemons as [
      (typeof daemons)[0],
      (typeof daemons)[0],
    ];
    const labels = {direction: 'out', kind: 'link'};
    const readSentBytes = async () => {
      await sleep(1300);
      const totals = daemons.map(daemon =>
        daemon.metrics.total('carobseam_control_bytes_total', labels),
      );
      const [a, b] = (await Promise.all(totals)) as [number, number];
      return a + b;
    };
    origin.dissemination.applyPlatformVersion(baseContents);
    const before = await readSentBytes();
    origin.dissemination.applyPlatformVersion(changedContents);
    const after = await readSentBytes();
    expect(receiver.blackboard.read('snapshot')?.version).to.equal(2);
    return after - before;
  }

  // Each daemon has one parent in the tree. So the bytes in both directions of
  // one tree edge are the bytes per daemon.
  const limits = [
    {profile: 'fast', limitBytes: 2000},
    {profile: 'small', limitBytes: 1000},
  ] as const;
  for (const {profile, limitBytes} of limits) {
    it(`guards against more than ${limitBytes} bytes per daemon (${profile})`, async () => {
      const bytes = await measureSentBytes(profile);
      console.log(`        measured: ${bytes} bytes`);
      expect(bytes).to.be.within(1, limitBytes);
    });
  }
});

async function freePort(): Promise<number> {
  const server = createServer().listen(0, ADDRESS);
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}
