import type {ConfigVersion} from '@carobseam/core.types';
import {silentLogger} from '@carobseam/core.logger';
import {
  StoreClient,
  StoreSource,
  wireHeaders,
} from '@carobseam/platform.adapter';
import {StoreStandIn} from '@carobseam/platform.store_stand_in';
import {expect} from 'chai';
import {setTimeout as pause} from 'node:timers/promises';
import {
  allocatePorts,
  call,
  createSnapshot,
  createWorkerEntry,
  respond,
  startRelay,
  startWorker,
  type FakeWorker,
  type ReceivedRequest,
  type RunningRelay,
} from './relay_fixtures.js';

const BORN_MS = 1_700_000_000_000;
const CALLS = 60; // several reach each worker whose load is unknown
const FOLLOW_MS = 1500; // within the time in which a change must be in force
const POLL_MS = 20;
const FAILED_ATTEMPTS = /attempts_failed_total\{.*/g;
const OWN_ID = 'i-0';
const PEER_ID = 'i-1';

interface StoreMesh {
  store: StoreStandIn;
  workers: FakeWorker[];
  /** Sends requests of both kinds through the first relay. */
  callAll: () => Promise<number[]>;
  /** Metrics lines about failed attempts of the first relay. */
  failedAttempts: () => Promise<string[]>;
  /** Resolves once a later configuration is in force on the first relay. */
  followChange: () => Promise<void>;
}

/** An entry of another writer, and the way in which it is odd. */
interface OddEntry {
  id?: string;
  /** Fields that differ from those of a worker on the VM of the peer. */
  fields?: Record<string, unknown>;
  text?: string;
}

/** Runs the request only if it names this worker, as real workers do. */
function runAs(id: string) {
  return (request: ReceivedRequest) => {
    if (request.headers[wireHeaders.expectedWorker] === id) {
      respond(request);
    } else {
      request.response.writeHead(421, {[wireHeaders.notExecuted]: '1'});
      request.response.end();
    }
  };
}

function startSource(address: string): StoreSource {
  return new StoreSource({
    client: new StoreClient(address),
    logger: silentLogger,
    decodesSupersededVersions: true,
  });
}

// The tests run one after the other, so one set of ports serves them all.
const ports = allocatePorts();

async function withStoreMesh(
  run: (mesh: StoreMesh) => Promise<void>,
): Promise<void> {
  const store = new StoreStandIn();
  const storeAddress = await store.listen('127.0.0.1');
  const workers = await Promise.all([
    startWorker('127.0.0.1', runAs(OWN_ID)),
    startWorker('127.0.0.2', runAs(PEER_ID)),
  ]);
  const {config} = createSnapshot([]);
  store.putConfig(config!);
  workers.forEach((worker, index) =>
    store.putWorker({
      ...createWorkerEntry(worker, `i-${index}`),
      bornMs: BORN_MS,
    }),
  );
  const relays: RunningRelay[] = [];
  const callFirst = (path: string, method = 'GET') =>
    call({host: '127.0.0.1', port: ports[0]!, path, method}).then(
      ({status}) => status,
    );
  try {
    for (const worker of workers) {
      relays.push(await startRelay(worker, ports, startSource(storeAddress)));
    }
    await run({
      store,
      workers,
      callAll: async () => {
        const statuses: number[] = [];
        for (let count = 0; count < CALLS; count++) {
          statuses.push(await callFirst('/read/1'));
          statuses.push(await callFirst('/buy/1', 'POST'));
        }
        return statuses;
      },
      failedAttempts: async () => {
        const [host, port] = ['127.0.0.1', ports[4]!];
        const {body} = await call({host, port, path: '/metrics'});
        return body.match(FAILED_ATTEMPTS) ?? [];
      },
      followChange: async () => {
        const [route] = config!.routes;
        store.putConfig({
          ...config!,
          version: 2 as ConfigVersion,
          routes: [...config!.routes, {...route!, pathPrefix: '/new/'}],
        });
        const endMs = performance.now() + FOLLOW_MS;
        while ((await callFirst('/new/1')) === 404) {
          expect(performance.now(), 'the relay did not follow').below(endMs);
          await pause(POLL_MS);
        }
      },
    });
  } finally {
    relays.forEach(relay => relay.close());
    await Promise.all(workers.map(worker => worker.close()));
    await store.close();
  }
}

const ODD_ENTRIES: Record<string, OddEntry> = {
  'of an array': {text: '[1,2,3]'},
  'with a field __proto__': {text: '{"__proto__":{"service":"desk"}}'},
  'that is no text': {text: '\u0000\ud800\uffff'},
  'that is very deeply nested': {text: '['.repeat(1_000_000)},
  'with a deeply nested service': {
    text: `{"service":${'['.repeat(500_000)}${']'.repeat(500_000)}}`,
  },
  'without an address': {fields: {address: undefined}},
  'with too many slots': {fields: {slots: 1e300}},
  'with a start time that is too large': {fields: {born: 1e300}},
  'with a start time of another type': {fields: {born: '1'}},
  'with a start time that is not whole': {fields: {born: BORN_MS + 0.5}},
  'with a report number that is too large': {fields: {sequence: 1e300}},
  'with a report number of another type': {fields: {sequence: '1'}},
  'with a cold time that is too large': {fields: {coldRemainingMs: 1e300}},
  'with a cold time of another type': {fields: {coldRemainingMs: '1'}},
  'with a port that is out of range': {fields: {address: '127.0.0.2:99999'}},
  'with a port that is one too large': {fields: {address: '127.0.0.2:65536'}},
  'with port 0': {fields: {address: '127.0.0.2:0'}},
  'with an octet that is out of range': {fields: {address: '999.0.0.1:80'}},
  'with a multicast address': {fields: {address: '239.0.0.1:80'}},
  'with an empty id': {id: ''},
  'with a semicolon in the id': {id: 'i;2'},
  'with a line break in the id': {id: 'i-2\r\nx-odd: 1'},
  'with a very long id': {id: `${'i'.repeat(20_000)}`},
  'with a line break in the service': {fields: {service: 'a\r\nb: c'}},
  'with a lone surrogate in the zone': {fields: {zone: '\udc00'}},
  'with a very large field': {fields: {version: 'v'.repeat(100_000)}},
  'of a service that is not named': {fields: {service: 'nobody'}},
};

const VMS: Record<string, number> = {'its own VM': 0, 'another VM': 1};

describe('entries of other writers', () => {
  for (const [name, odd] of Object.entries(ODD_ENTRIES)) {
    for (const [place, index] of Object.entries(VMS)) {
      it(`guards against requests that an entry ${name} harms on ${place}`, async () => {
        await withStoreMesh(async mesh => {
          const {store, workers} = mesh;
          const entry = {
            service: 'desk',
            address: workers[index]!.address,
            zone: 'wien',
            version: 'v1',
            slots: 4,
            state: 'ready',
            coldRemainingMs: 0,
            sequence: 1,
            born: BORN_MS + 1,
            ...odd.fields,
          };
          const text = odd.text ?? JSON.stringify(entry);
          store.putWorkerBytes(odd.id ?? 'i-2', Buffer.from(text));
          await mesh.followChange();
          const statuses = await mesh.callAll();
          expect(statuses.filter(status => status !== 200)).to.deep.equal([]);
          expect(await mesh.failedAttempts()).to.deep.equal([]);
          const headers = workers.flatMap(worker =>
            worker.requests.map(request => request.headers),
          );
          expect(headers.filter(sent => 'x-odd' in sent)).to.deep.equal([]);
          const ids = headers.map(sent => sent[wireHeaders.expectedWorker]);
          expect([...new Set(ids)].sort()).to.deep.equal([OWN_ID, PEER_ID]);
        });
      });
    }
  }
});

describe('a configuration of another form', () => {
  const oddConfigs = ['null', '{"version":9,"routes":{"rows":[null]}}'];
  for (const text of oddConfigs) {
    it(`guards against a relay that stops following after ${text}`, async () => {
      await withStoreMesh(async mesh => {
        mesh.store.putConfigText(text);
        await mesh.followChange();
        const statuses = await mesh.callAll();
        expect(statuses.filter(status => status !== 200)).to.deep.equal([]);
      });
    });
  }
});
