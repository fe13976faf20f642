import type {IncomingMessage} from 'node:http';

/** Whether the sender of a request has closed its connection. */
export function hasSenderLeft({socket}: IncomingMessage): boolean {
  return socket.destroyed || socket.readableEnded;
}
