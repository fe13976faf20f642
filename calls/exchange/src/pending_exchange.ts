import type {Readable} from 'node:stream';
import type {ExchangeRequest, ExchangeResult} from './exchange_types.js';
import type {ResponseHead} from './response_reader.js';

/** State of an exchange that is in progress on a connection. */
export interface PendingExchange {
  request: ExchangeRequest;
  onResult: (result: ExchangeResult) => void;
  isWritten: boolean;
  isBodySent: boolean;
  head?: ResponseHead;
  /** All bytes received before the head, or after the read that completed it. */
  sectionBytes: number;
  chunks: Buffer[];
  bytes: number;
  receivedBytes: number;
  receivedInterims: number;
  /** When the request was written or the last byte was received. */
  lastActiveMs?: number;
  stream?: Readable;
  silenceTimer?: NodeJS.Timeout;
  /** Reports of silence since the last received byte. */
  silentIntervals: number;
}

/** Creates the state of an exchange whose request is not written yet. */
export function createPendingExchange(
  request: ExchangeRequest,
  onResult: (result: ExchangeResult) => void,
): PendingExchange {
  return {
    request,
    onResult,
    isWritten: false,
    isBodySent: false,
    sectionBytes: 0,
    chunks: [],
    bytes: 0,
    silentIntervals: 0,
    receivedBytes: 0,
    receivedInterims: 0,
  };
}
