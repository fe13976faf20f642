import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {HOST, send} from '../stand_ins/client.mjs';
import {LIMITS, Mesh} from '../stand_ins/mesh.mjs';
import {hasTrouble, runCase} from '../stand_ins/record.mjs';

const SERVICE = 'archive';
// A short body shows that the rule can be kept: BODY_BYTES=100000.
const BODY_BYTES = Number(process.env.BODY_BYTES ?? 420_000);
const WAVES = 8;
const WAVE_INTERVAL_MS = 5000;
const CLIENTS_PER_WAVE = 34; // the worker runs 18 at once
const WORK_MS = 1048; // of the longest kind of request on the users' sheets
const TARGET_MS = 3003;
const ROUTE_TIMEOUT_MS = 10_000;
const DEADLINE_MS = 20_022;
const LEAVE_SHARE = 0.3; // the largest share of `give_up` in the site file
const LEAVE_AFTER_MS = 300;
const LATE_MS = 500; // from the rule
const MAX_LATE = 5; // "more than a few"

await runCase(import.meta.dirname, async record => {
  const arrivals = new Map();
  const serve = async ({id, request, answer}) => {
    arrivals.set(id, performance.now());
    record.add('reached_worker', {id});
    request.on('error', () => {});
    request.resume();
    await pause(WORK_MS);
    answer(200);
  };
  const mesh = await Mesh.start({
    vms: [
      {service: SERVICE, serve},
      {service: 'other', serve},
    ],
    config: {
      version: 7,
      routes: [
        {
          name: 'upload',
          prefix: '/upload/',
          host: HOST,
          kind: 'safe',
          timeoutMs: ROUTE_TIMEOUT_MS,
          targetLatencyMs: TARGET_MS,
          priority: 2,
          maxAttempts: 2,
          service: SERVICE,
        },
      ],
      services: [SERVICE],
      limits: LIMITS,
    },
  });
  const [vm] = mesh.vms;
  const body = Buffer.alloc(BODY_BYTES, 'b');
  const results = [];
  const sendOne = async (id, leaves) => {
    const result = await send({
      vm,
      id,
      path: '/upload/x',
      body,
      deadlineMs: DEADLINE_MS,
      leaveAfterMs: leaves ? LEAVE_AFTER_MS : DEADLINE_MS,
    });
    results.push(result);
    const {status, leftMs, endedMs} = result;
    record.add(leftMs ? 'client_left' : 'answered', {id, status}, endedMs);
  };
  // The first answers tell the relay how long the work takes.
  for (let count = 0; count < 4; count++) {
    void sendOne(`first-${count}`, false);
  }
  await pause(2 * WORK_MS);
  for (let wave = 0; wave < WAVES; wave++) {
    for (let count = 0; count < CLIENTS_PER_WAVE; count++) {
      // Every third client or fewer, evenly spread.
      const leaves =
        hasTrouble &&
        Math.floor((count + 1) * LEAVE_SHARE) > Math.floor(count * LEAVE_SHARE);
      void sendOne(`w${wave}-${count}`, leaves);
    }
    await pause(WAVE_INTERVAL_MS);
  }
  mesh.close();

  const left = results.filter(({leftMs}) => leftMs !== undefined);
  const late = left.filter(
    ({id, leftMs}) => arrivals.get(id) - leftMs > LATE_MS,
  );
  const statuses = {};
  results.forEach(
    ({status}) => (statuses[status] = (statuses[status] ?? 0) + 1),
  );
  record.end(late.length > MAX_LATE ? 'broken' : 'held', [
    `requests: ${results.length}, with a body of ${BODY_BYTES} bytes`,
    `clients that left: ${left.length}`,
    `their requests that reached the worker over half a second later: ${late.length}`,
    `answers by status (0: left): ${JSON.stringify(statuses)}`,
  ]);
});
