import {expect} from 'chai';
import {SystemClock} from '@carobseam/core.clock';
import {daemonSettingsSchema} from '@carobseam/core.settings';
import {Daemon} from '@carobseam/daemon.main';
import {
  InMemoryPlatform,
  publishDirectory,
  PlatformStandInServer,
} from '@carobseam/testing.platform_stand_in';
import {
  makeDeclarationDir,
  PlatformStandInClient,
  type DeclarationDir,
} from '@carobseam/testing.fixtures';
import path from 'node:path';
import {captureCli as run} from './capture_cli.js';

const ADDRESS = '127.0.0.1';
const BASE_PORT = 24_900;

interface Place {
  vmId: string;
  dataCentre: string;
  firstPort: number;
}

const PLACES: readonly Place[] = [
  {vmId: 'w1', dataCentre: 'ost-wien', firstPort: BASE_PORT},
  {vmId: 'l1', dataCentre: 'ost-linz', firstPort: BASE_PORT + 4},
];

const adminOf = ({firstPort}: Place) => `${ADDRESS}:${firstPort + 2}`;

function createDaemon({vmId, dataCentre, firstPort}: Place, url: string) {
  const endpoint = (offset: number) => ({
    address: ADDRESS,
    port: firstPort + offset,
  });
  return new Daemon(
    daemonSettingsSchema.parse({
      ...{vmId, dataCentre, region: 'ost', service: 'hintdesk'},
      ...{callers: endpoint(0), fleet: endpoint(1)},
      admin: {port: firstPort + 2},
      upstream: endpoint(3),
      platform: {url},
      fleetKeys: [{id: 'k1', secret: '0123456789abcdef'}],
      fleetSizeHint: PLACES.length,
      log: {level: 'error'},
    }),
  );
}

describe('operators path', function () {
  this.timeout(30_000);
  let declarations: DeclarationDir;
  let out: string;
  let url: string;
  let server: PlatformStandInServer;
  let daemons: Daemon[];

  beforeEach(async () => {
    declarations = makeDeclarationDir();
    out = path.join(declarations.dir, '.rendered');
    const clock = new SystemClock();
    const state = new InMemoryPlatform({clock, limitCallsPerSecond: 2000});
    server = new PlatformStandInServer({state, address: ADDRESS, port: 0});
    await server.start();
    url = `http://${ADDRESS}:${server.port}`;
    await listVms();
    daemons = PLACES.map(place => createDaemon(place, url));
    await Promise.all(daemons.map(daemon => daemon.start()));
  });

  afterEach(async () => {
    await Promise.all(daemons.map(daemon => daemon.close()));
    await server.close();
    declarations.close();
  });

  async function listVms(): Promise<void> {
    const vms = PLACES.map(({vmId, dataCentre, firstPort}) => ({
      ...{vmId, dataCentre, service: 'hintdesk', address: ADDRESS},
      ...{fleetPort: firstPort + 1, callersPort: firstPort, state: 'live'},
    }));
    await new PlatformStandInClient(url).putVms(vms as never);
  }

  async function publish(version: number): Promise<void> {
    const rendered = await run('render', declarations.dir, '--out', out);
    expect(rendered.text).to.match(new RegExp(`^version ${version},`));
    const keys = await publishDirectory({
      dir: out,
      url,
      keyPrefix: 'carobseam',
    });
    expect(keys.at(-1)).to.equal('carobseam/manifest');
    const args = ['--until', String(version), '--timeout', '10'];
    const status = await run('status', ...PLACES.map(adminOf), ...args);
    expect(status.code, status.text).to.equal(0);
    expect(status.text).to.include(`version ${version}: 2 of 2 VMs`);
  }

  it('guards against a step of the operators that does not fit the next', async () => {
    await publish(1);
    declarations.write('mesh.yaml', 'activePreset: peak\n');
    const diff = await run('diff', out, declarations.dir);
    expect(diff.text).to.include('ordinary -> peak');
    await publish(2);
    declarations.write('mesh.yaml', 'activePreset: ordinary\n');
    await publish(3);
    const [first, second] = PLACES.map(adminOf) as [string, string];
    const explained = await run('explain', first, 'get', '/hints/reveal/7');
    expect(explained.text).to.include('timeout 2000 ms');
    expect(explained.text).to.match(/l1 .* no .* does not allow/);
    expect(explained.code).to.equal(0);
    const refused = await run('explain', first, 'GET', '/nowhere');
    expect(refused.text).to.include('no route matches');
    expect(refused.code).to.equal(1);
    const drained = await run('drain', second, '--wait', '--timeout', '10');
    expect(drained.code, drained.text).to.equal(0);
    const gone = await run('status', first, second, '--json');
    expect(JSON.parse(gone.text).unanswered[0].address).to.equal(second);
    expect(gone.code).to.equal(1);
  });

  it('guards against another server that passes for a daemon', async () => {
    const status = await run('status', url);
    expect(status.text).to.include('is no admin port of this release');
    expect(status.text).to.include('admin.port of the settings');
    expect(status.code).to.equal(1);
  });
});
