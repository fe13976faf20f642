import type {FleetEndpoint} from '@carobseam/fleet.types';
import {connect} from 'node:net';

/** Finds out whether a process is gone. */
export interface ProcessExitCheck {
  /** True only when the endpoint refused a connection. */
  hasExited(endpoint: FleetEndpoint): Promise<boolean>;
}

const CONNECT_TIMEOUT_MS = 500;

/**
 * Connects to the fleet port. A paused process still accepts connections and a
 * partition drops packets, so only a refusal counts.
 */
export class TcpProcessExitCheck implements ProcessExitCheck {
  hasExited({address, fleetPort}: FleetEndpoint): Promise<boolean> {
    return new Promise(resolve => {
      const socket = connect({host: address, port: fleetPort});
      const finish = (gone: boolean) => {
        socket.destroy();
        resolve(gone);
      };
      socket.setTimeout(CONNECT_TIMEOUT_MS, () => finish(false));
      socket.once('connect', () => finish(false));
      socket.once('error', (error: NodeJS.ErrnoException) =>
        finish(error.code === 'ECONNREFUSED'),
      );
    });
  }
}
