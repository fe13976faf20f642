import {
  callHeaders,
  refusalBody,
  refusalDefinitions,
  type RefusalReason,
} from '@carobseam/calls.types';
import type {
  IncomingMessage,
  OutgoingHttpHeaders,
  ServerResponse,
} from 'node:http';

/** Longest time for which the rest of a refused upload is read, ms. */
const UPLOAD_REST_TIMEOUT_MS = 2000;

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
  if (headers.connection === 'close' && isUploading(res.req)) {
    res.write(body);
    endAfterUpload(res);
  } else {
    res.end(body);
  }
}

function isUploading({complete, headers}: IncomingMessage): boolean {
  const {'content-length': length = '0'} = headers;
  return (
    !complete && (length !== '0' || headers['transfer-encoding'] !== undefined)
  );
}

/**
 * Ends a response once the request has been received. A connection that is
 * closed with unread data is reset, and the caller may lose the response.
 */
function endAfterUpload(res: ServerResponse): void {
  const {req} = res;
  const end = () => void res.end();
  const timer = setTimeout(end, UPLOAD_REST_TIMEOUT_MS);
  res.once('close', () => clearTimeout(timer));
  req.once('end', end);
  req.resume();
}
