import {CrashMarks} from '@carobseam/calls.crash_marks';
import {CrashQuarantine} from '@carobseam/calls.relay';
import {probeConnection, splitAddress} from '@carobseam/core.net';
import type {Clock, RandomSource} from '@carobseam/core.types';
import {
  CrashMarkClient,
  CrashMarkExchange,
  CrashMarkServer,
  type RelayAddresses,
} from '@carobseam/fleet.crash_mark_exchange';
import type {RelaySettings} from '@carobseam/platform.adapter';
import type {RateLimitedLog} from './rate_limited_log.js';
import type {RequestRecorder} from './request_recorder.js';

const CRASH_LIMIT = 3; // a request that is only in flight beside a crashing one rarely meets three crashes in a row
const MAX_RUN_NUMBER = 2 ** 31 - 1; // two runs get the same number once in two thousand million
const PROBE_TIMEOUT_MS = 500; // the worker is on the same VM

/** Options of `createCrashQuarantine`. */
export interface CreateCrashQuarantineOptions {
  settings: RelaySettings;
  clock: Clock;
  random: RandomSource;
  log: RateLimitedLog;
  recorder: RequestRecorder;
  relays: () => RelayAddresses;
}

/** Creates the parts of a relay that keep crashing requests from workers. */
export function createCrashQuarantine({
  settings,
  clock,
  random,
  log,
  recorder,
  relays,
}: CreateCrashQuarantineOptions): {
  quarantine: CrashQuarantine;
  exchange: CrashMarkExchange;
  server: CrashMarkServer;
} {
  const marks = new CrashMarks({clock, crashLimit: CRASH_LIMIT});
  const client = new CrashMarkClient();
  const exchange = new CrashMarkExchange({
    clock,
    random,
    logger: log.logger,
    marks,
    relays,
    send: (address, notice) => client.send(address, notice),
    fetch: address => client.fetch(address),
  });
  const worker = splitAddress(settings.workerAddress);
  const quarantine = new CrashQuarantine({
    clock,
    marks,
    // A relay that starts again must not use the ids of crashes from before.
    relayId: `${settings.vm}-${random.nextInt(MAX_RUN_NUMBER).toString(36)}`,
    probeWorker: () =>
      probeConnection(worker.host, worker.port, PROBE_TIMEOUT_MS),
    recordCrash: (crashId, requests) => {
      recorder.workerCrashed(crashId, requests.length);
      exchange.recordCrash(crashId, requests);
    },
    recordCompletion: fingerprint => exchange.recordCompletion(fingerprint),
  });
  return {quarantine, exchange, server: new CrashMarkServer(exchange)};
}
