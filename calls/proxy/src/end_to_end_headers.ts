import {callHeaders} from '@carobseam/calls.types';
import type {IncomingHttpHeaders, OutgoingHttpHeaders} from 'node:http';

/** Headers that apply to one connection only (RFC 9110, section 7.6.1). */
const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

// Headers that only daemons set. A worker that calls another service may copy
// the headers of a refusal into its own response. They would then wrongly state
// that the worker did not execute its own call.
const DAEMON_ONLY_HEADERS = [
  callHeaders.refusal,
  callHeaders.reason,
  callHeaders.load,
  callHeaders.version,
  callHeaders.leaving,
] as const;

/** Copies all headers except those that apply to one connection only. */
export function copyEndToEndHeaders(
  source: IncomingHttpHeaders,
): OutgoingHttpHeaders {
  const headers: OutgoingHttpHeaders = {};
  for (const name in source) {
    if (!HOP_BY_HOP_HEADERS.has(name)) {
      headers[name] = source[name];
    }
  }
  const {connection} = source;
  if (connection && connection !== 'keep-alive' && connection !== 'close') {
    for (const name of connection.split(',')) {
      delete headers[name.trim().toLowerCase()];
    }
  }
  return headers;
}

/** Removes the headers that only daemons may set from a worker's response. */
export function removeDaemonHeaders(headers: OutgoingHttpHeaders): void {
  for (const name of DAEMON_ONLY_HEADERS) {
    if (headers[name] !== undefined) {
      delete headers[name];
    }
  }
}
