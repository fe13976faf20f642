import net from 'node:net';
import {Readable} from 'node:stream';
import {attributeResponse} from './attribute_response.js';
import {
  headerValue,
  headerValues,
  type ExchangeFailure,
  type ExchangeRequest,
  type ExchangeResult,
  type FailureReason,
} from './exchange_types.js';
import {
  createPendingExchange,
  type PendingExchange,
} from './pending_exchange.js';
import type {HttpConnectionOptions} from './http_connection_options.js';
import {parseKeepAlive} from './parse_keep_alive.js';
import {encodeRequestHead} from './request_head.js';
import {ResponseReader, type ResponseHead} from './response_reader.js';
import {untilDrained} from './until_drained.js';

const MAX_SECTION_BYTES = 256 * 1024; // of a body with its chunk heads, before it is streamed
const MAX_INTERIM_RESPONSES = 2000; // a relay sends five a second
const MAX_SKIPPED_BYTES = 1024 * 1024; // one large extra response; interim responses of a relay take 8 KB a minute

/**
 * One HTTP/1.1 connection to a worker or to another relay, for one request at a
 * time. A connection that has received unexpected bytes is not reused.
 */
export class HttpConnection {
  readonly #options: HttpConnectionOptions;
  readonly #socket: net.Socket;
  readonly #reader: ResponseReader;
  readonly #connectTimer: NodeJS.Timeout;
  #current?: PendingExchange;
  #isConnected = false;
  #isSkippingResponse = false;
  #isReusable = true;
  /** Whether a response to an earlier request may arrive. */
  #hasEarlierRequest = false;
  /** Number of socket events that show that the server is alive. */
  #readCount = 0;
  /** Keep-alive timeout that the server sent, in ms. */
  keepAliveMs: number | undefined;

  constructor(options: HttpConnectionOptions) {
    this.#options = options;
    this.#reader = new ResponseReader({
      onHead: head => this.#onHead(head),
      onBody: chunk => this.#onBody(chunk),
      onEnd: () => this.#onEnd(),
    });
    this.#socket = net.connect({
      host: options.host,
      port: options.port,
      noDelay: true,
      allowHalfOpen: true,
    });
    this.#connectTimer = setTimeout(
      () => this.#afterPendingReads(() => this.#fail('connect_timeout')),
      options.connectTimeoutMs,
    );
    this.#socket.on('connect', () => this.#onConnect());
    this.#socket.on('data', chunk => this.#onData(chunk));
    this.#socket.on('end', () => this.#onSocketEnd());
    this.#socket.on('error', () => this.#onLost());
    this.#socket.on('close', () => this.#onLost());
  }

  get isUsable(): boolean {
    return this.#isReusable && !this.#socket.destroyed;
  }

  /** Sends one request; the connection must be idle. */
  send(
    request: ExchangeRequest,
    onResult: (result: ExchangeResult) => void,
  ): void {
    this.#current = createPendingExchange(request, onResult);
    if (this.#isConnected) {
      this.#write(this.#current);
    }
  }

  /** Aborts the exchange of `request`, if it is still in progress. */
  cancel(request: ExchangeRequest): void {
    if (this.#current?.request === request) {
      this.#fail('cancelled');
    }
  }

  close(): void {
    this.#isReusable = false;
    this.#socket.destroy();
  }

  #onConnect(): void {
    clearTimeout(this.#connectTimer);
    this.#readCount++;
    this.#isConnected = true;
    if (this.#current) {
      this.#write(this.#current);
    }
  }

  #write(current: PendingExchange): void {
    const {request} = current;
    if (request.isWithdrawn?.()) {
      this.#fail('withdrawn');
      return;
    }
    const head = encodeRequestHead(request);
    current.isWritten = true;
    this.#restartSilenceTimer(current);
    current.lastActiveMs = performance.now();
    if (request.body instanceof Readable) {
      this.#socket.write(head, 'latin1');
      void this.#writeStream(current, request.body);
      return;
    }
    this.#socket.cork();
    this.#socket.write(head, 'latin1');
    if (request.body.length > 0) {
      this.#socket.write(request.body);
    }
    this.#socket.uncork();
    current.isBodySent = true;
  }

  async #writeStream(current: PendingExchange, body: Readable): Promise<void> {
    try {
      for await (const chunk of body as AsyncIterable<Buffer>) {
        if (this.#current !== current || this.#socket.destroyed) {
          return;
        }
        this.#socket.write(`${chunk.length.toString(16)}\r\n`, 'latin1');
        this.#socket.write(chunk);
        if (!this.#socket.write('\r\n', 'latin1')) {
          await untilDrained(this.#socket);
        }
      }
      this.#socket.write('0\r\n\r\n', 'latin1');
      current.isBodySent = true;
    } catch {
      // The caller aborted its request body. The headers were already sent, so
      // the outcome is unknown.
      if (this.#current === current) {
        this.#fail('body_failed');
      }
    }
  }

  #onData(chunk: Buffer): void {
    this.#readCount++;
    const current = this.#current;
    if (!current) {
      // Unexpected bytes without a request in progress. The bytes that follow
      // could not be attributed to a request either.
      this.close();
      return;
    }
    this.#restartSilenceTimer(current);
    current.receivedBytes += chunk.length;
    current.lastActiveMs = performance.now();
    try {
      this.#reader.read(chunk);
    } catch {
      const isHead = !current.head && this.#reader.isHeadTooLarge;
      this.#fail(isHead ? 'head_too_large' : 'malformed_response');
      return;
    }
    current.sectionBytes += chunk.length;
    if (!current.head) {
      if (current.sectionBytes > MAX_SKIPPED_BYTES) {
        this.#fail('no_response_head');
      }
    } else if (
      current.sectionBytes > MAX_SECTION_BYTES &&
      this.#current === current &&
      !current.stream
    ) {
      this.#startStream(current);
    }
  }

  #onHead(head: ResponseHead): boolean {
    const current = this.#current;
    this.#isSkippingResponse = head.status < 200;
    if (current && this.#isSkippingResponse) {
      current.receivedInterims++;
      current.request.onHead?.(head);
      if (current.receivedInterims > MAX_INTERIM_RESPONSES) {
        this.#fail('no_response_head');
        // Ends the parsing of what has arrived.
        throw new Error('too many interim responses');
      }
    }
    if (!current || this.#isSkippingResponse) {
      return false;
    }
    const attribution = attributeResponse({
      requestId: current.request.requestId,
      echoedIds: headerValues(head.headers, this.#options.requestIdHeader),
      isIdRequired:
        this.#options.isRequestIdEchoed &&
        (this.#hasEarlierRequest || !current.isBodySent),
    });
    if (attribution === 'earlierRequest') {
      this.#hasEarlierRequest = true;
      this.#isSkippingResponse = true;
      this.#isReusable = false;
      return false;
    }
    if (attribution === 'unknown') {
      this.#fail('unattributed_response');
      return false;
    }
    current.request.onHead?.(head);
    current.head = head;
    current.sectionBytes = 0;
    if (!head.isKeepAlive || !current.isBodySent) {
      this.#isReusable = false;
    }
    this.keepAliveMs = parseKeepAlive(headerValue(head.headers, 'keep-alive'));
    return current.request.method === 'HEAD';
  }

  #onBody(chunk: Buffer): void {
    const current = this.#current;
    if (!current || this.#isSkippingResponse) {
      return;
    }
    if (current.stream) {
      if (!current.stream.push(chunk)) {
        this.#socket.pause();
      }
      return;
    }
    const {buffers} = this.#options;
    const isKept = buffers.take(chunk.length, current.bytes);
    current.chunks.push(chunk);
    current.bytes += chunk.length;
    if (!isKept) {
      this.#startStream(current);
    }
  }

  /** Delivers the response with its large body as a stream. */
  #startStream(current: PendingExchange): void {
    clearTimeout(current.silenceTimer);
    current.stream = new Readable({
      read: () => this.#socket.resume(),
      destroy: (error, done) => {
        if (this.#current === current) {
          this.close();
        }
        done(error);
      },
    });
    // The stream may fail before its receiver listens for errors.
    current.stream.on('error', () => {});
    for (const chunk of current.chunks) {
      current.stream.push(chunk);
    }
    this.#releaseBuffers(current);
    current.onResult({
      kind: 'response',
      status: current.head!.status,
      headers: current.head!.headers,
      body: current.stream,
    });
  }

  #onEnd(): void {
    if (this.#isSkippingResponse) {
      this.#isSkippingResponse = false;
      return;
    }
    const current = this.#current;
    if (!current) {
      this.close();
      return;
    }
    this.#current = undefined;
    clearTimeout(current.silenceTimer);
    if (current.stream) {
      current.stream.push(null);
      // A stream that has ended asks for no more data, so it would stay paused.
      this.#socket.resume();
    } else {
      current.onResult({
        kind: 'response',
        status: current.head!.status,
        headers: current.head!.headers,
        body: Buffer.concat(current.chunks, current.bytes),
      });
      this.#releaseBuffers(current);
    }
    if (this.isUsable) {
      // Extra bytes of the same read must be parsed before the next request.
      setImmediate(() => this.#becomeIdle());
    } else {
      this.close();
    }
  }

  #becomeIdle(): void {
    this.#hasEarlierRequest = true;
    if (this.isUsable && this.#reader.isBetweenResponses) {
      this.#options.onIdle(this);
    } else {
      this.close();
    }
  }

  #onSocketEnd(): void {
    this.#isReusable = false;
    if (!this.#current?.head?.isCloseDelimited) {
      this.#onLost();
      return;
    }
    // libuv reports a reset that arrives together with data as a normal end. A
    // write shows the difference, because it fails after a reset. An empty line
    // is safe to write: servers do not take it for a request.
    this.#socket.write('\r\n', error => {
      if (!error) {
        this.#finishCloseDelimited();
      }
      this.#onLost();
    });
  }

  #finishCloseDelimited(): void {
    try {
      this.#reader.finish();
    } catch {
      this.#fail('malformed_response');
    }
  }

  #onLost(): void {
    this.#isReusable = false;
    clearTimeout(this.#connectTimer);
    this.#fail(this.#isConnected ? 'connection_lost' : 'connect_failed');
    this.#options.onClose(this);
  }

  #fail(reason: FailureReason): void {
    const current = this.#current;
    this.#current = undefined;
    this.close();
    if (!current) {
      return;
    }
    clearTimeout(current.silenceTimer);
    this.#releaseBuffers(current);
    if (current.stream) {
      current.stream.destroy(new Error(`response ended early: ${reason}`));
      return;
    }
    const kind: ExchangeFailure['kind'] = current.isWritten
      ? 'unknown'
      : 'notSent';
    const {receivedBytes, receivedInterims, lastActiveMs} = current;
    const silentMs = lastActiveMs && performance.now() - lastActiveMs;
    current.onResult({kind, reason, receivedBytes, receivedInterims, silentMs});
  }

  #releaseBuffers(current: PendingExchange): void {
    this.#options.buffers.release(current.bytes);
    current.chunks = [];
    current.bytes = 0;
  }

  #restartSilenceTimer(current: PendingExchange): void {
    const {silenceWatch} = current.request;
    if (!silenceWatch || current.stream) {
      return;
    }
    current.silentIntervals = 0;
    if (current.silenceTimer) {
      current.silenceTimer.refresh();
      return;
    }
    current.silenceTimer = setTimeout(
      () => this.#afterPendingReads(() => this.#reportSilence(current)),
      silenceWatch.intervalMs,
    );
  }

  #reportSilence(current: PendingExchange): void {
    const {silenceWatch} = current.request;
    if (this.#current !== current || current.stream) {
      return;
    }
    current.silentIntervals++;
    current.silenceTimer!.refresh();
    const silentMs = current.silentIntervals * silenceWatch!.intervalMs;
    if (silenceWatch!.onSilent(silentMs) === 'end') {
      this.#fail('silent');
    }
  }

  /**
   * Runs a timeout handler unless bytes have arrived that were not read yet.
   * After a delay of the event loop, timers run before sockets are read.
   */
  #afterPendingReads(handleTimeout: () => void): void {
    const readCount = this.#readCount;
    setImmediate(() => {
      if (this.#readCount === readCount) {
        handleTimeout();
      }
    });
  }
}
