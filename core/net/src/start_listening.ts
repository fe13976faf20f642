import {CarobseamError} from '@carobseam/core.errors';
import type {EventEmitter} from 'node:events';

/** Options of `startListening`. */
export interface StartListeningOptions {
  /** Emits `error` if it cannot listen on the address. */
  server: EventEmitter;
  /** Makes the server listen and calls `done` when it does. */
  listen: (done: () => void) => void;
  /** Name of the endpoint in the error message. */
  endpoint: string;
  hint: string;
}

/**
 * Waits until a server listens.
 *
 * @throws CarobseamError LISTEN_FAILED.
 */
export function startListening(options: StartListeningOptions): Promise<void> {
  const {server, listen, endpoint, hint} = options;
  return new Promise((resolve, reject) => {
    server.once('error', cause =>
      reject(
        new CarobseamError({
          code: 'LISTEN_FAILED',
          message: `cannot listen on ${endpoint}`,
          hint,
          cause,
        }),
      ),
    );
    listen(resolve);
  });
}
