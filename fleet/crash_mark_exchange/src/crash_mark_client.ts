import {httpGet} from '@carobseam/core.http_get';
import {
  CRASH_MARK_PATH,
  decodeMarkNotice,
  type MarkNotice,
} from './mark_notice.js';

const TIMEOUT_MS = 600; // a peer under load responds within a few iterations of its event loop
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024; // all marks of a full table

/** Exchanges crash marks with other relays over HTTP. */
export class CrashMarkClient {
  /**
   * Sends a notice to the relay with the given control address.
   *
   * @throws Error when the relay does not accept it in time.
   */
  async send(address: string, notice: MarkNotice): Promise<void> {
    const {status} = await httpGet({
      address,
      path: CRASH_MARK_PATH,
      body: JSON.stringify(notice),
      timeoutMs: TIMEOUT_MS,
      maxBytes: MAX_RESPONSE_BYTES,
    });
    if (status !== 204) {
      throw new Error(`relay ${address} responded with status ${status}`);
    }
  }

  /**
   * Returns the marks that the relay with the given control address knows.
   *
   * @throws Error when the relay does not respond in time or its response cannot be
   *     decoded.
   */
  async fetch(address: string): Promise<MarkNotice> {
    const {body} = await httpGet({
      address,
      path: CRASH_MARK_PATH,
      timeoutMs: TIMEOUT_MS,
      maxBytes: MAX_RESPONSE_BYTES,
    });
    const notice = decodeMarkNotice(body.toString('utf8'));
    if (!notice) {
      throw new Error(`relay ${address} sent no list of crash marks`);
    }
    return notice;
  }
}
