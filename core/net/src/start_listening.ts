import {CarobseamError} from '@carobseam/core.errors';
import type {EventEmitter} from 'node:events';

/** Options of `startListening`. */
export interface StartListeningOptions {
  /** Emits `error` when the address cannot be used. */
  server: EventEmitter;
  listen: (done: () => void) => void;
  /** What is listened on, as an error message names it. */
  endpoint: string;
  hint: string;
}

/** @throws CarobseamError LISTEN_FAILED. */
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
