import type {HttpConnection} from './http_connection.js';
import type {ResponseBuffers} from './response_buffers.js';

/** Options of `HttpConnection`. */
export interface HttpConnectionOptions {
  host: string;
  port: number;
  connectTimeoutMs: number;
  requestIdHeader: string;
  /** See `ConnectionPoolOptions`. */
  isRequestIdEchoed?: boolean;
  buffers: ResponseBuffers;
  /** Called each time the connection becomes idle after an exchange. */
  onIdle: (connection: HttpConnection) => void;
  onClose: (connection: HttpConnection) => void;
}
