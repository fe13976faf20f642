import {HTTPParser} from 'http-parser-js';
import {hasControlCharacter, parseHeaderLine} from './parse_header_line.js';

/** Status line and headers of a response. */
export interface ResponseHead {
  status: number;
  /** Alternating names and values, as received. */
  headers: string[];
  isKeepAlive: boolean;
  /** Whether the end of the connection delimits the body. */
  isCloseDelimited: boolean;
}

/** Callbacks for the parts of a response. */
export interface ResponseHandler {
  /** @return whether the response has no body regardless of its headers. */
  onHead(head: ResponseHead): boolean;
  onBody(chunk: Buffer): void;
  onEnd(): void;
}

interface ParserInternals {
  consumeLine(): string | undefined;
  line: string;
  headerSize: number;
  body_bytes: number | null;
  state: string;
  isChunked: boolean;
  nextRequest(): void;
  parseHeader(line: string, headers: string[]): void;
  BODY_CHUNKHEAD(): void;
  BODY_CHUNKTRAILERS(): void;
}

const CHUNK_HEAD_PATTERN = /^[0-9a-fA-F]+[ \t]*(;.*)?$/;
const LENGTH_PATTERN = /^\d+$/;
const MAX_HEAD_BYTES = 128 * 1024; // the parser counts one read of the previous body too, which is up to 64 KB
const MAX_CHUNK_HEAD_BYTES = 1024; // extensions are rare and short
const SWITCHING_PROTOCOLS = 101;
const STATUS_LINE_START = 'HTTP/';

HTTPParser.encoding = 'latin1';
HTTPParser.maxHeaderSize = MAX_HEAD_BYTES;

/**
 * Parses the responses on one connection. The HTTP client of Node.js cannot be
 * used, because it treats a second response as an error and therefore cannot
 * skip an extra response that belongs to an earlier request.
 */
export class ResponseReader {
  readonly #parser = new HTTPParser(HTTPParser.RESPONSE);

  constructor(handler: ResponseHandler) {
    const parser = this.#parser;
    const internals = parser as unknown as ParserInternals;
    parser[HTTPParser.kOnHeadersComplete] = info => {
      if (info.statusCode === SWITCHING_PROTOCOLS) {
        throw new Error('change of protocol was not requested');
      }
      checkReason(info.statusMessage);
      checkContentLengths(info.headers);
      checkTransferCodings(info.headers);
      const hasNoBody =
        info.statusCode < 200 ||
        info.statusCode === 204 ||
        info.statusCode === 304;
      const skipsBody = handler.onHead({
        status: info.statusCode,
        headers: info.headers,
        isKeepAlive: info.shouldKeepAlive,
        isCloseDelimited:
          !hasNoBody && !internals.isChunked && internals.body_bytes === null,
      });
      // The original parser reads a body after these statuses if one is framed.
      return skipsBody || hasNoBody ? 1 : 0;
    };
    parser[HTTPParser.kOnBody] = (chunk, offset, length) =>
      handler.onBody(chunk.subarray(offset, offset + length));
    parser[HTTPParser.kOnMessageComplete] = () => handler.onEnd();
    // The original parser skips a line that is not a header.
    internals.parseHeader = parseHeaderLine;
    // The original parser takes an invalid chunk size as the last chunk.
    internals.BODY_CHUNKHEAD = readChunkHead;
    // The original parser stores trailers without a limit.
    internals.BODY_CHUNKTRAILERS = skipTrailer;
  }

  /** Whether the head that is being read exceeds the limit. */
  get isHeadTooLarge(): boolean {
    const {headerSize} = this.#parser as unknown as ParserInternals;
    return headerSize > MAX_HEAD_BYTES;
  }

  /** Whether no byte was received after the last complete response. */
  get isBetweenResponses(): boolean {
    const {line, state} = this.#parser as unknown as ParserInternals;
    return line === '' && state === 'RESPONSE_LINE';
  }

  /** @throws Error when the bytes are not a valid response. */
  read(chunk: Buffer): void {
    const result = this.#parser.execute(chunk);
    if (result instanceof Error) {
      throw result;
    }
    const {line, state} = this.#parser as unknown as ParserInternals;
    if (line !== '') {
      checkPartialLine(line, state);
    }
  }

  /**
   * Ends a body that the end of the connection delimits.
   *
   * @throws Error when the response is incomplete.
   */
  finish(): void {
    const result = this.#parser.finish();
    if (result instanceof Error) {
      throw result;
    }
  }
}

function readChunkHead(this: ParserInternals): void {
  const line = this.consumeLine();
  if (line === undefined) {
    return;
  }
  if (line.length > MAX_CHUNK_HEAD_BYTES) {
    throw new Error('chunk extension is too long');
  }
  if (!CHUNK_HEAD_PATTERN.test(line)) {
    throw new Error('chunk size is not a hexadecimal number');
  }
  this.body_bytes = parseInt(line, 16);
  this.state = this.body_bytes ? 'BODY_CHUNK' : 'BODY_CHUNKTRAILERS';
}

function skipTrailer(this: ParserInternals): void {
  const line = this.consumeLine();
  if (line === undefined) {
    return;
  }
  if (line === '') {
    this.nextRequest();
    return;
  }
  this.headerSize += line.length;
  if (this.headerSize > MAX_HEAD_BYTES) {
    throw new Error('trailers are too long');
  }
}

/** Checks a line of which only a part was received. */
function checkPartialLine(line: string, state: string): void {
  if (line.length > MAX_HEAD_BYTES) {
    throw new Error('line is too long');
  }
  const isStatusLine =
    state !== 'RESPONSE_LINE' ||
    line === '\r' ||
    line.startsWith(STATUS_LINE_START) ||
    STATUS_LINE_START.startsWith(line);
  if (!isStatusLine) {
    throw new Error('bytes are not a status line');
  }
}

/** Checks that no other response begins inside the status line. */
function checkReason(reason: string): void {
  if (hasControlCharacter(reason) || reason.includes(STATUS_LINE_START)) {
    throw new Error('reason of the status is not valid');
  }
}

function checkContentLengths(headers: readonly string[]): void {
  for (let index = 0; index < headers.length; index += 2) {
    const isContentLength = headers[index]!.toLowerCase() === 'content-length';
    if (isContentLength && !LENGTH_PATTERN.test(headers[index + 1]!)) {
      throw new Error('content length is not a number');
    }
  }
}

/** Checks that no coding is applied to the body that the parser cannot undo. */
function checkTransferCodings(headers: readonly string[]): void {
  const codings: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() === 'transfer-encoding') {
      codings.push(headers[index + 1]!.toLowerCase());
    }
  }
  if (codings.length > 0 && codings.join() !== 'chunked') {
    throw new Error('transfer coding is not supported');
  }
}
