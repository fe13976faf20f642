import type {MeshRoute} from '@carobseam/config.mesh';
import {wireHeaders} from '@carobseam/platform.adapter';
import type {IncomingMessage} from 'node:http';

/** The time that the caller waits, in ms. */
export function deadlineOf(request: IncomingMessage, route: MeshRoute): number {
  const sentMs = Number(headerOf(request, wireHeaders.deadlineMs));
  return sentMs > 0 ? sentMs : route.timeoutMs;
}

/** Value of a header by its lower-case name. */
export function headerOf(
  request: IncomingMessage,
  name: string,
): string | undefined {
  return request.headers[name] as string | undefined;
}
