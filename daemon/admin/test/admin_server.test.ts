import {expect} from 'chai';
import {
  createDaemonBlackboard,
  type DaemonBlackboard,
} from '@carobseam/core.blackboard';
import {Metrics} from '@carobseam/core.metrics';
import type {DataCentreName, ServiceName, VmId} from '@carobseam/core.types';
import {createSnapshotOrThrow} from '@carobseam/config.snapshot';
import {
  AdminServer,
  callExplanationSchema,
  daemonStatusSchema,
} from '@carobseam/daemon.admin';
import {makeVersion, makeWorkerEndpoint} from '@carobseam/testing.fixtures';
import got from 'got';

const VM_ID = 'ost-wien-1' as VmId;
const DATA_CENTRE = 'ost-wien' as DataCentreName;

describe('AdminServer', () => {
  let blackboard: DaemonBlackboard;
  let server: AdminServer;
  let drains: number;

  beforeEach(async () => {
    blackboard = createDaemonBlackboard();
    drains = 0;
    server = new AdminServer({
      vmId: VM_ID,
      dataCentre: DATA_CENTRE,
      readersPerDataCentre: 2,
      address: '127.0.0.1',
      port: 0,
      blackboard,
      metrics: new Metrics(),
      drain: () => drains++,
    });
    await server.start();
  });

  afterEach(() => server.close());

  const get = (path: string) =>
    got(`http://127.0.0.1:${server.port}${path}`, {
      throwHttpErrors: false,
      retry: {limit: 0},
    });

  it('guards against reporting a daemon as ready before it serves', async () => {
    expect((await get('/readyz')).statusCode).to.equal(503);
    blackboard.write('lifecycle', 'serving');
    expect((await get('/readyz')).statusCode).to.equal(200);
    expect((await get('/healthz')).statusCode).to.equal(200);
  });

  it('guards against a status without the other data centres', async () => {
    blackboard.write('remotePeers', [
      {
        vmId: 'ost-linz-1' as VmId,
        dataCentre: 'ost-linz' as DataCentreName,
        address: '127.0.0.1',
        fleetPort: 1,
      },
    ]);
    const status = daemonStatusSchema.parse(
      JSON.parse((await get('/status')).body),
    );
    expect(status.version).to.equal(0);
    expect(status.otherDataCentres).to.deep.equal([
      {dataCentre: 'ost-linz', listedVms: 0, knownPeers: 1},
    ]);
  });

  it('guards against an excluded worker without a reason', async () => {
    blackboard.write(
      'snapshot',
      createSnapshotOrThrow(makeVersion(4).contents),
    );
    blackboard.write(
      'endpoints',
      new Map([
        [
          'hintdesk' as ServiceName,
          [
            makeWorkerEndpoint({}),
            makeWorkerEndpoint({vmId: 'ost-wien-2' as VmId, leaving: true}),
            makeWorkerEndpoint({
              vmId: 'ost-linz-1' as VmId,
              dataCentre: 'ost-linz' as DataCentreName,
            }),
          ],
        ],
      ]),
    );
    const {body} = await get('/explain?method=GET&path=/hints/reveal/7?x=1');
    const explanation = callExplanationSchema.parse(JSON.parse(body));
    expect(explanation.version).to.equal(4);
    expect(explanation.route?.name).to.equal('letter-reveal');
    expect(explanation.workers.map(worker => worker.reason)).to.deep.equal([
      undefined,
      'leaving',
      'in another data centre, which the policy does not allow',
    ]);
  });

  it('guards against reporting a malformed query as a call without a route', async () => {
    const response = await get('/explain?method=get');
    expect(response.statusCode).to.equal(400);
    expect(JSON.parse(response.body).hint).to.include('/explain?method=');
  });

  it('guards against a drain by a GET request', async () => {
    expect((await get('/drain')).statusCode).to.equal(405);
    expect(drains).to.equal(0);
    await got.post(`http://127.0.0.1:${server.port}/drain`);
    expect(drains).to.equal(1);
  });

  it('guards against metrics in a format that Prometheus cannot scrape', async () => {
    const {headers, body} = await get('/metrics');
    expect(headers['content-type']).to.include('text/plain');
    expect(body).to.include('carobseam_config_version 0');
  });
});
