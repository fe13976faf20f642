import type {IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';

const MAX_BUFFERED_BYTES = 256 * 1024; // bodies in the users' specification are at most 24 KB

/** The body of a request exceeds the size limit. */
export class BodyTooLargeError extends Error {
  override name = 'BodyTooLargeError';
}

/**
 * Reads the body of a request. A large body is returned as a stream, so that
 * memory use stays bounded; it can be sent only once.
 *
 * @throws BodyTooLargeError when the body exceeds `maxBytes`.
 * @throws Error when the sender closes the connection before the end.
 */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Buffer | Readable> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const removeListeners = () => {
      request.off('data', onData);
      request.off('end', onEnd);
      request.off('close', onClose);
    };
    const onData = (chunk: Buffer) => {
      chunks.push(chunk);
      bytes += chunk.length;
      if (bytes > maxBytes) {
        removeListeners();
        request.resume();
        reject(new BodyTooLargeError(`body exceeds ${maxBytes} bytes`));
      } else if (bytes > MAX_BUFFERED_BYTES) {
        removeListeners();
        request.pause();
        resolve(Readable.from(streamBody(chunks, request, maxBytes)));
      }
    };
    const onEnd = () => {
      removeListeners();
      resolve(Buffer.concat(chunks, bytes));
    };
    const onClose = () => {
      removeListeners();
      reject(
        new Error('the sender closed the connection before the body was read'),
      );
    };
    request.on('data', onData);
    request.on('end', onEnd);
    request.on('close', onClose);
  });
}

/** Yields the chunks that were already read, then the rest of the request. */
async function* streamBody(
  readChunks: readonly Buffer[],
  request: IncomingMessage,
  maxBytes: number,
): AsyncGenerator<Buffer> {
  let bytes = 0;
  for (const chunk of readChunks) {
    bytes += chunk.length;
    yield chunk;
  }
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > maxBytes) {
      throw new BodyTooLargeError(`body exceeds ${maxBytes} bytes`);
    }
    yield chunk;
  }
}
