import type {IncomingMessage, ServerResponse} from 'node:http';

/** Request with which relays check whether another relay responds. */
export const HEALTH_PROBE = {method: 'OPTIONS', url: '*'} as const;

/** Responds to a health probe; false when the request is not one. */
export function respondToHealthProbe(
  request: IncomingMessage,
  response: ServerResponse,
): boolean {
  const isProbe =
    request.method === HEALTH_PROBE.method && request.url === HEALTH_PROBE.url;
  if (isProbe) {
    response.writeHead(204, ['Connection', 'close']);
    response.end();
  }
  return isProbe;
}
