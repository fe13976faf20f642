import {
  callHeaders,
  refusalBody,
  refusalDefinitions,
  type RefusalReason,
} from '@carobseam/calls.types';
import {endAfterUpload} from '@carobseam/core.net';
import type {OutgoingHttpHeaders, ServerResponse} from 'node:http';

/** Sends a refusal with its status, headers and JSON body. */
export function sendRefusal(
  res: ServerResponse,
  reason: RefusalReason,
  retryAfterMs?: number,
  headers: OutgoingHttpHeaders = {},
): void {
  const {kind, statusCode} = refusalDefinitions[reason];
  const body = JSON.stringify(refusalBody(reason, retryAfterMs));
  if (retryAfterMs !== undefined) {
    res.setHeader(callHeaders.retryAfter, Math.ceil(retryAfterMs / 1000));
  }
  res.writeHead(statusCode, {
    ...headers,
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    [callHeaders.refusal]: kind,
    [callHeaders.reason]: reason,
  });
  if (headers.connection === 'close') {
    endAfterUpload(res, body);
  } else {
    res.end(body);
  }
}
