import type {Clock} from '@carobseam/core.types';
import http from 'node:http';
import {HEALTH_PROBE} from './health_probe.js';

const PROBE_TIMEOUT_MS = 300; // a response from another data centre takes a few ms

/** Why a probe failed; `refused` means that no process listens on the VM. */
export type FailedProbe = 'unanswered' | 'notConnected' | 'refused';

/** Result of one probe. */
export type ProbeResult = 'answered' | FailedProbe;

/** Options of `probeRelay`. */
export interface ProbeRelayOptions {
  clock: Clock;
  host: string;
  /** Inbound port of the relay. */
  port: number;
}

/** Asks a relay for a response over a new connection. */
export function probeRelay({
  clock,
  host,
  port,
}: ProbeRelayOptions): Promise<ProbeResult> {
  return new Promise(resolve => {
    let result: ProbeResult = 'notConnected';
    const request = http.request({
      host,
      port,
      method: HEALTH_PROBE.method,
      path: HEALTH_PROBE.url,
      agent: false,
    });
    const timer = clock.setTimer(PROBE_TIMEOUT_MS, () =>
      // After a delay of the event loop, timers run before sockets are read.
      setImmediate(() => request.destroy()),
    );
    request.on('socket', socket =>
      socket.on('connect', () => (result = 'unanswered')),
    );
    request.on('response', response => {
      result = 'answered';
      response.destroy();
    });
    request.on('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNREFUSED') {
        result = 'refused';
      }
    });
    request.on('close', () => {
      timer.cancel();
      resolve(result);
    });
    request.end();
  });
}
