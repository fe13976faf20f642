import type {FleetEndpoint} from '@carobseam/fleet.types';
import {connect} from 'node:net';

/** Checks whether the daemon process at an endpoint has exited. */
export interface ProcessExitCheck {
  /** Resolves to true only if the endpoint refused a connection. */
  hasExited(endpoint: FleetEndpoint): Promise<boolean>;
}

const CONNECT_TIMEOUT_MS = 500;

/**
 * Checks by a TCP connection to the fleet port. The kernel still accepts
 * connections for a paused process and a network partition drops packets, so
 * only a refused connection proves that the process has exited.
 */
export class TcpProcessExitCheck implements ProcessExitCheck {
  hasExited({address, fleetPort}: FleetEndpoint): Promise<boolean> {
    return new Promise(resolve => {
      const socket = connect({host: address, port: fleetPort});
      const finish = (exited: boolean) => {
        socket.destroy();
        resolve(exited);
      };
      socket.setTimeout(CONNECT_TIMEOUT_MS, () => finish(false));
      socket.once('connect', () => finish(false));
      socket.once('error', (error: NodeJS.ErrnoException) =>
        finish(error.code === 'ECONNREFUSED'),
      );
    });
  }
}
