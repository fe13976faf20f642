import type {ClientRequest, IncomingMessage} from 'node:http';

/** Bodies up to this size are buffered, so that a retry can resend them. */
const MAX_BUFFERED_BODY_BYTES = 64 * 1024;

/** Body of a caller's request; buffered when it is small, else streamed. */
export class RequestBody {
  readonly #req: IncomingMessage;
  readonly #chunks: Buffer[] = [];
  #sizeBytes = 0;
  #isStreamed = false;
  #outgoing?: ClientRequest;

  constructor(req: IncomingMessage) {
    this.#req = req;
  }

  /** Whether the whole body is in memory. */
  get isBuffered(): boolean {
    return !this.#isStreamed;
  }

  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /** The part of the body that is in memory. */
  get chunks(): readonly Buffer[] {
    return this.#chunks;
  }

  /** Calls `onReady`, possibly at once, when the body can be sent. */
  prepare(onReady: () => void): void {
    const {headers} = this.#req;
    const length = headers['content-length'];
    const isChunked = headers['transfer-encoding'] !== undefined;
    if (!isChunked && (length === undefined || length === '0')) {
      onReady();
      return;
    }
    if (Number(length) > MAX_BUFFERED_BODY_BYTES) {
      this.#isStreamed = true;
      onReady();
      return;
    }
    this.#buffer(onReady);
  }

  /** Sends the body and ends the request. */
  sendTo(outgoing: ClientRequest): void {
    if (!this.#isStreamed) {
      outgoing.end(this.#chunks.length > 0 ? this.#concat() : undefined);
      return;
    }
    this.#outgoing = outgoing;
    for (const chunk of this.#chunks) {
      outgoing.write(chunk);
    }
    this.#req.pipe(outgoing);
  }

  /** Stops sending a streamed body. */
  stopSending(): void {
    if (this.#outgoing) {
      this.#req.unpipe(this.#outgoing);
      this.#req.resume();
    }
  }

  #buffer(onReady: () => void): void {
    const req = this.#req;
    const onData = (chunk: Buffer): void => {
      this.#chunks.push(chunk);
      this.#sizeBytes += chunk.length;
      if (this.#sizeBytes > MAX_BUFFERED_BODY_BYTES) {
        this.#isStreamed = true;
        req.pause();
        finish();
      }
    };
    const finish = (): void => {
      req.off('data', onData);
      req.off('end', finish);
      onReady();
    };
    req.on('data', onData);
    req.on('end', finish);
  }

  #concat(): Buffer {
    return this.#chunks.length === 1
      ? this.#chunks[0]!
      : Buffer.concat(this.#chunks);
  }
}
