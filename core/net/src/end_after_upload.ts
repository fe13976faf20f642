import type {IncomingMessage, ServerResponse} from 'node:http';

const UPLOAD_REST_TIMEOUT_MS = 2000;

/**
 * Sends a response after which its connection is closed, and closes it once the
 * body of the request has been read, after 2 s at the latest. A connection that
 * is closed with unread data is reset, and the sender may lose the response.
 *
 * @param body body of the response, whose headers have been written.
 */
export function endAfterUpload(response: ServerResponse, body = ''): void {
  const request = response.req;
  if (!isUploading(request)) {
    response.end(body);
    return;
  }
  response.flushHeaders();
  if (body !== '') {
    response.write(body);
  }
  const end = () => void response.end();
  const timer = setTimeout(end, UPLOAD_REST_TIMEOUT_MS);
  response.once('close', () => clearTimeout(timer));
  request.once('end', end);
  request.resume();
}

function isUploading({complete, headers}: IncomingMessage): boolean {
  const {'content-length': length = '0'} = headers;
  return (
    !complete && (length !== '0' || headers['transfer-encoding'] !== undefined)
  );
}
