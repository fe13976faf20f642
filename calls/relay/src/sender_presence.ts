import type {IncomingMessage} from 'node:http';

/**
 * Waits until the event loop has polled its sockets once more. After a delay of
 * the loop, the end of a connection is read one poll later than the request.
 */
export function afterNextPoll(): Promise<void> {
  return new Promise(resolve => {
    // The first one runs before the next poll, the second one after it.
    setImmediate(() => setImmediate(resolve));
  });
}

/** Whether the sender of a request has closed its connection. */
export function hasSenderLeft({socket}: IncomingMessage): boolean {
  return socket.destroyed || socket.readableEnded;
}
