import {performance} from 'node:perf_hooks';
import {setTimeout as pause} from 'node:timers/promises';
import {HOST, send} from '../stand_ins/client.mjs';
import {LIMITS, Mesh} from '../stand_ins/mesh.mjs';
import {hasTrouble, runCase} from '../stand_ins/record.mjs';

const VMS = 3;
const ROUNDS = 7;
const CUT_MS = 4000; // `core_cut` of one machine in the site file
const LEAVES_AFTER_MS = 1000; // from the end of the cut
const SERVES_ON_MS = 4000; // of a worker whose entry is removed; drainS and longer
const NEXT_ROUND_AFTER_MS = 2500; // from the start of the next worker
const CONTACT_MS = 3000; // contactS
const DRAIN_MS = 2000; // drainS
const WORK_MS = 20;
const REQUEST_INTERVAL_MS = 20;
const DEADLINE_MS = 3000;

await runCase(import.meta.dirname, async record => {
  const arrivals = [];
  const serve = async ({worker, id, request, answer}) => {
    arrivals.push({id, worker: worker.id, atMs: performance.now()});
    request.resume();
    await pause(WORK_MS);
    answer(200);
  };
  const mesh = await Mesh.start({
    hasStoreLinks: true,
    // One worker in each zone, so that requests mostly stay on their VM.
    vms: Array.from({length: VMS}, (_none, index) => ({
      service: 'desk',
      zone: `zone-${index + 1}`,
      serve,
    })),
    config: {
      version: 7,
      routes: [
        {
          name: 'look-up',
          prefix: '/look-up/',
          host: HOST,
          kind: 'safe',
          timeoutMs: 1500,
          targetLatencyMs: 500,
          priority: 1,
          maxAttempts: 2,
          service: 'desk',
        },
      ],
      services: ['desk'],
      limits: LIMITS,
    },
  });

  let isOver = false;
  const results = new Map();
  const runClient = async vm => {
    for (let count = 0; !isOver; count++) {
      const id = `c${vm.index + 1}-${count}`;
      void send({
        vm,
        id,
        path: '/look-up/x',
        method: 'GET',
        deadlineMs: DEADLINE_MS,
      }).then(result => results.set(id, result));
      await pause(REQUEST_INTERVAL_MS);
    }
  };
  /** Workers whose entries were removed, with the times of their rounds. */
  const gone = [];
  let cutCount = 0;
  const play = async () => {
    for (let round = 0; round < ROUNDS; round++) {
      const vm = mesh.vms[round % VMS];
      const endMs = performance.now() + CUT_MS;
      if (hasTrouble) {
        vm.storeLink.cutUntil(endMs);
        record.add('cut_from_store', {vm: vm.index + 1});
      }
      await pause(CUT_MS + LEAVES_AFTER_MS);
      // It never reports `draining`: its entry is removed, and it serves on.
      const {worker} = vm;
      const workerId = worker.id;
      mesh.store.removeWorker(workerId);
      const ackMs = performance.now();
      gone.push({worker: workerId, vm, inTouchMs: endMs + CONTACT_MS, ackMs});
      record.add('entry_removed', {worker: workerId});
      await pause(SERVES_ON_MS);
      const running = worker.running.size;
      cutCount += running;
      worker.crash();
      worker.running.clear();
      record.add('worker_ended', {worker: workerId, running});
      worker.id = `${workerId.split('.')[0]}.${round + 1}`;
      await worker.start();
      mesh.putWorker(vm);
      await pause(NEXT_ROUND_AFTER_MS);
    }
    isOver = true;
  };
  await Promise.all([play(), ...mesh.vms.map(vm => runClient(vm))]);
  await pause(1000);
  mesh.close();

  const late = [];
  for (const {worker, vm, inTouchMs, ackMs} of gone) {
    for (const arrival of arrivals) {
      const {sentMs} = results.get(arrival.id) ?? {};
      // Only requests that began at the machine of the worker, when in touch.
      const isCounted =
        arrival.worker === worker &&
        arrival.id.startsWith(`c${vm.index + 1}-`) &&
        sentMs > inTouchMs &&
        arrival.atMs - ackMs > DRAIN_MS;
      if (isCounted) {
        const afterMs = arrival.atMs - ackMs;
        late.push(arrival);
        record.add('late', {id: arrival.id, worker, afterMs}, arrival.atMs);
      }
    }
  }
  const rounds = new Set(late.map(({worker}) => worker));
  record.end(late.length > 0 ? 'broken' : 'held', [
    `requests: ${results.size}`,
    `workers that left: ${gone.length}, after a cut of their machine from the store: ${hasTrouble ? gone.length : 0}`,
    `requests that reached one later than drainS after it was gone: ${late.length}, at ${rounds.size} workers`,
    `requests that ran when their worker ended: ${cutCount}`,
  ]);
});
