import {Readable} from 'node:stream';

/** A request to send over a connection. */
export interface ExchangeRequest {
  method: string;
  url: string;
  /**
   * Alternating names and values, without the headers that frame the body; a
   * function is called when the request is written.
   */
  headers: readonly string[] | (() => readonly string[]);
  /**
   * Whether the request is of no use any more, because its time is over or its
   * sender has left; it is then not written.
   */
  isWithdrawn?: () => boolean;
  body: Buffer | Readable;
  /**
   * Request id; a response that echoes another id belongs to an earlier
   * request.
   */
  requestId?: string;
  /**
   * Called for each head received during the exchange, also of interim responses
   * and of a response that is broken off later.
   */
  onHead?: (head: ReceivedHead) => void;
  /** Observes the silence of the server; without it, silence has no effect. */
  silenceWatch?: SilenceWatch;
  /**
   * Forces a new connection, because a reused one may be closed by the server
   * while it is idle.
   */
  needsNewConnection?: boolean;
}

/** Status and headers of a response; the headers alternate names and values. */
export type ReceivedHead = Pick<ExchangeResponse, 'status' | 'headers'>;

/** Observes that the server sends nothing while a response is expected. */
export interface SilenceWatch {
  /** Time without a received byte after which each report is made, in ms. */
  intervalMs: number;
  /**
   * Called once per interval until a byte arrives.
   *
   * @param silentMs time since the last byte or since the request was sent.
   * @return whether to keep waiting, or to end the exchange as `silent`.
   */
  onSilent: (silentMs: number) => 'wait' | 'end';
}

/** A response; a large body is a stream that is still being received. */
export interface ExchangeResponse {
  kind: 'response';
  status: number;
  headers: string[];
  body: Buffer | Readable;
}

/** Failure of an exchange without a response. */
export interface ExchangeFailure {
  /** `notSent` when no byte of the request was written, otherwise `unknown`. */
  kind: 'notSent' | 'unknown';
  reason: FailureReason;
  /** Bytes that the peer sent during the exchange. */
  receivedBytes: number;
  /** Interim responses that the peer sent. */
  receivedInterims: number;
  /**
   * Time since the last byte was received, or since the request was written if
   * there was none, in ms; undefined when it was not written.
   */
  silentMs?: number;
}

/** Why an exchange has no response. */
export type FailureReason =
  | 'connect_failed'
  | 'connect_timeout'
  | 'connection_lost'
  | 'malformed_response'
  | 'unattributed_response'
  | 'head_too_large'
  | 'no_response_head'
  | 'silent'
  | 'cancelled'
  /** The request was of no use any more before it was written. */
  | 'withdrawn'
  | 'body_failed';

/** Result of an exchange. */
export type ExchangeResult = ExchangeResponse | ExchangeFailure;

/** An exchange in progress. */
export interface Exchange {
  /** Never rejects. */
  readonly result: Promise<ExchangeResult>;
  /**
   * Aborts the exchange and closes its connection, unless the response is
   * complete.
   */
  cancel(): void;
}

/**
 * Discards a response that will not be read. Closes the connection of a
 * streamed one.
 */
export function discardResponse(response: ExchangeResponse | undefined): void {
  if (response?.body instanceof Readable) {
    response.body.destroy();
  }
}

/** Returns the value of a header by its lower-case name. */
export function headerValue(
  headers: readonly string[],
  name: string,
): string | undefined {
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() === name) {
      return headers[index + 1];
    }
  }
  return undefined;
}

/** Returns all values of a header by its lower-case name, each value once. */
export function headerValues(
  headers: readonly string[],
  name: string,
): Set<string> {
  const values = new Set<string>();
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() === name) {
      values.add(headers[index + 1]!);
    }
  }
  return values;
}
