import {splitAddress, startListening} from '@carobseam/core.net';
import http from 'node:http';

const BACKLOG = 1024; // many callers may connect at the same moment
const MAX_HEADER_BYTES = 64 * 1024; // four times the header limit in the users' configuration

/**
 * Starts an HTTP server.
 *
 * @param address IP address and port.
 * @throws CarobseamError LISTEN_FAILED.
 */
export async function listen(
  address: string,
  handler: http.RequestListener,
): Promise<http.Server> {
  const server = http.createServer(
    {maxHeaderSize: MAX_HEADER_BYTES, noDelay: true, requestTimeout: 0},
    handler,
  );
  await startListening({
    server,
    listen: done =>
      server.listen({...splitAddress(address), backlog: BACKLOG}, done),
    endpoint: address,
    hint: 'free the address or change it in the settings',
  });
  return server;
}
