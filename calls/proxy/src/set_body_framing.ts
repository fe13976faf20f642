import type {OutgoingHttpHeaders} from 'node:http';
import type {CallData} from './call_data.js';

/**
 * Sets the length of a buffered body; a streamed body keeps its chunked
 * framing.
 */
export function setBodyFraming(
  headers: OutgoingHttpHeaders,
  {req, body}: CallData,
): void {
  const hasLength = body.sizeBytes > 0 || mayHaveBody(req.method!);
  if (body.isBuffered && hasLength) {
    headers['content-length'] = body.sizeBytes;
  } else if (req.headers['transfer-encoding'] !== undefined) {
    headers['transfer-encoding'] = 'chunked';
  }
}

function mayHaveBody(method: string): boolean {
  return method !== 'GET' && method !== 'HEAD';
}
