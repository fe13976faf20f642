import type {
  IncomingMessage,
  OutgoingHttpHeaders,
  ServerResponse,
} from 'node:http';

/** Response bodies up to this size are buffered and sent in one write. */
const MAX_BUFFERED_BYTES = 16 * 1024;

export interface ForwardResponseOptions {
  readonly method: string;
  readonly response: IncomingMessage;
  readonly res: ServerResponse;
  readonly headers: OutgoingHttpHeaders;
  /**
   * The response is complete; called before its end is sent to the caller. The
   * body is undefined when it was too large to buffer.
   */
  readonly onComplete: (body: Buffer | undefined) => void;
  /** The response ended early; `isPartlySent` if the caller has a part. */
  readonly onIncomplete: (isPartlySent: boolean) => void;
}

/**
 * Forwards a response to the caller. The end of the response is only sent when
 * its framing was complete, so that the caller notices a truncated response.
 */
export function forwardResponse(options: ForwardResponseOptions): void {
  const {response, method} = options;
  response.on('error', ignoreError);
  const length = response.headers['content-length'];
  const isBodyless = hasNoBody(method, response.statusCode!);
  const isChunked = response.headers['transfer-encoding'] !== undefined;
  if (!isBodyless && length === undefined && !isChunked) {
    // Without a length or chunks the body ends with the connection, which a
    // crash of the worker closes in the same way.
    response.destroy();
    options.onIncomplete(false);
    return;
  }
  if (isBodyless || Number(length) <= MAX_BUFFERED_BYTES) {
    forwardBuffered(options);
  } else {
    forwardStreamed(options);
  }
}

/**
 * Ends a response that is incomplete. If only the end of the connection
 * delimits its body, as for HTTP/1.0, a reset shows that it is incomplete.
 */
export function breakOff(res: ServerResponse): void {
  if (res.headersSent && !res.chunkedEncoding) {
    res.socket?.resetAndDestroy();
  }
  res.destroy();
}

function forwardBuffered(options: ForwardResponseOptions): void {
  const {response, res, headers} = options;
  const chunks: Buffer[] = [];
  let isComplete = false;
  response.on('data', (chunk: Buffer) => chunks.push(chunk));
  response.on('end', () => {
    if (!response.complete) {
      return;
    }
    isComplete = true;
    const body = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
    options.onComplete(body);
    if (!res.destroyed) {
      res.writeHead(response.statusCode!, headers);
      sendBuffered(res, body);
    }
  });
  response.on('close', () => {
    if (!isComplete) {
      options.onIncomplete(false);
    }
  });
}

/** Sends the headers and the body in one write, then the end. */
function sendBuffered(res: ServerResponse, body: Buffer): void {
  if (body.length > 0) {
    // node:http concatenates the headers with a string body, but not with a
    // buffer. `end` with a body would add an empty chunk, and a corked socket
    // then sends a list of chunks, which is slower than one string.
    res.write(body.toString('latin1'), 'latin1');
    res.socket?.uncork();
  }
  res.end();
}

function forwardStreamed(options: ForwardResponseOptions): void {
  const {response, res} = options;
  const bufferedBody = new BufferedBody();
  let isComplete = false;
  res.writeHead(response.statusCode!, options.headers);
  const resume = (): void => void response.resume();
  res.on('drain', resume);
  response.on('data', (chunk: Buffer) => {
    bufferedBody.add(chunk);
    if (!res.destroyed && !res.write(chunk)) {
      response.pause();
    }
  });
  response.on('end', () => {
    if (!response.complete) {
      return;
    }
    isComplete = true;
    options.onComplete(bufferedBody.concat());
    res.end();
  });
  response.on('close', () => {
    res.off('drain', resume);
    if (!isComplete) {
      options.onIncomplete(true);
    }
  });
  // When the caller disconnects, a response that is paused on back pressure
  // continues, so that it is read to its end.
  res.on('close', resume);
}

/** Buffers a body up to a size limit and drops it beyond the limit. */
class BufferedBody {
  #chunks: Buffer[] | undefined = [];
  #sizeBytes = 0;

  add(chunk: Buffer): void {
    this.#sizeBytes += chunk.length;
    if (this.#sizeBytes > MAX_BUFFERED_BYTES) {
      this.#chunks = undefined;
    }
    this.#chunks?.push(chunk);
  }

  concat(): Buffer | undefined {
    return this.#chunks && Buffer.concat(this.#chunks);
  }
}

function hasNoBody(method: string, statusCode: number): boolean {
  return method === 'HEAD' || statusCode === 204 || statusCode === 304;
}

function ignoreError(): void {}
