import {callHeaders} from '@carobseam/calls.types';
import {probeConnection} from '@carobseam/core.net';
import {request} from 'node:http';

/**
 * Result of a probe over a new connection, after a peer or worker did not
 * respond in time:
 * - `working`: the connection works, and the call is not known there;
 * - `refused`: the connection failed;
 * - `silent`: the probe timed out;
 * - `call_known`: the peer still works on the call;
 * - `worker_silent`: the peer still waits for its worker, which has exceeded the
 *   first-byte timeout.
 */
export type ProbeResult =
  'working' | 'refused' | 'silent' | 'call_known' | 'worker_silent';

/** An address to connect to. */
export interface ProbeTarget {
  readonly address: string;
  readonly port: number;
}

const PROBE_TIMEOUT_MS = 1000;

/** What a daemon knows of a call, as its response to a probe states it. */
export type ProbeAnswer = 'known' | 'worker_silent' | 'unknown';

const PROBE_RESULTS: Record<ProbeAnswer, ProbeResult> = {
  known: 'call_known',
  worker_silent: 'worker_silent',
  unknown: 'working',
};

/** Probes a worker by opening a new connection to it. */
export function probeWorker(
  target: ProbeTarget,
  onResult: (result: ProbeResult) => void,
): void {
  void probeConnection(target.address, target.port, PROBE_TIMEOUT_MS).then(
    result => onResult(result === 'open' ? 'working' : result),
  );
}

/** Asks a peer over a new connection whether it still works on a call. */
export function probeDaemon(
  target: ProbeTarget,
  callId: string,
  onResult: (result: ProbeResult) => void,
): void {
  let isFinished = false;
  const finish = (result: ProbeResult): void => {
    if (!isFinished) {
      isFinished = true;
      onResult(result);
    }
  };
  const outgoing = request({
    host: target.address,
    port: target.port,
    agent: false,
    timeout: PROBE_TIMEOUT_MS,
    headers: {[callHeaders.probe]: callId},
  });
  outgoing.on('timeout', () => {
    finish('silent');
    outgoing.destroy();
  });
  outgoing.on('error', () => finish('refused'));
  outgoing.on('response', response => {
    response.resume();
    response.on('error', () => {});
    const answer = response.headers[callHeaders.probe] as ProbeAnswer;
    finish(PROBE_RESULTS[answer] ?? 'working');
  });
  outgoing.end();
}
