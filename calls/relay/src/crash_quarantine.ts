import {
  requestFingerprint,
  type CrashMarks,
  type InFlightRequest,
} from '@carobseam/calls.crash_marks';
import {headerValue} from '@carobseam/calls.exchange';
import type {ConnectionProbeResult} from '@carobseam/core.net';
import type {Clock} from '@carobseam/core.types';
import {wireHeaders} from '@carobseam/platform.adapter';
import {Readable} from 'node:stream';

const PROBE_DELAY_MS = 20; // all connections of a process that has ended are reset within this time
const SAME_CRASH_MS = 1000; // a worker needs longer to start again

/** Parts of a request that identify it when it is sent again. */
export interface QuarantinedRequest {
  method: string;
  url: string;
  /** Alternating names and values. */
  headers: readonly string[];
  body: Buffer | Readable;
}

/** Options of `CrashQuarantine`. */
export interface CrashQuarantineOptions {
  clock: Clock;
  marks: CrashMarks;
  /** Identifies this relay in the ids of crashes. */
  relayId: string;
  /** Opens a new connection to the local worker. */
  probeWorker: () => Promise<ConnectionProbeResult>;
  /** Records a crash of the local worker here and at the other relays. */
  recordCrash: (crashId: string, requests: readonly InFlightRequest[]) => void;
  /** Records the same way that a marked request has completed. */
  recordCompletion: (fingerprint: string) => void;
}

/**
 * Keeps requests that crash workers away from them. The gate reports which
 * requests lost their connection to the local worker; if the worker then refuses
 * connections, it has crashed, and these requests are marked. A request with a
 * streamed body cannot be identified and is never refused.
 */
export class CrashQuarantine {
  readonly #options: CrashQuarantineOptions;
  #lost: InFlightRequest[] = [];
  #crashCount = 0;
  #lastCrashMs = -Infinity;

  constructor(options: CrashQuarantineOptions) {
    this.#options = options;
  }

  /** Whether no worker must run the request. */
  isRefused(request: QuarantinedRequest): boolean {
    const fingerprint = this.#fingerprintIfMarks(request);
    return (
      fingerprint !== undefined && this.#options.marks.isRefused(fingerprint)
    );
  }

  /** Records that the local worker has responded to a request. */
  recordCompletion(request: QuarantinedRequest): void {
    const fingerprint = this.#fingerprintIfMarks(request);
    if (fingerprint !== undefined) {
      this.#options.recordCompletion(fingerprint);
    }
  }

  /**
   * Records that the connection to the local worker was lost while it ran a
   * request.
   *
   * @param startedMs when the request was sent, on the monotonic clock, in ms.
   * @param isResent whether a run at another worker had failed before.
   */
  recordLost(
    request: QuarantinedRequest,
    startedMs: number,
    isResent: boolean,
  ): void {
    const fingerprint = fingerprintOf(request);
    if (fingerprint === undefined) {
      return;
    }
    this.#lost.push({
      fingerprint,
      startedMonotonicMs: startedMs,
      resent: isResent,
    });
    if (this.#lost.length === 1) {
      this.#options.clock.setTimer(
        PROBE_DELAY_MS,
        () => void this.#checkCrash(),
      );
    }
  }

  async #checkCrash(): Promise<void> {
    const {clock, relayId, probeWorker, recordCrash} = this.#options;
    const result = await probeWorker();
    const lost = this.#lost;
    this.#lost = [];
    if (result !== 'refused') {
      return;
    }
    const nowMs = clock.monotonicMs();
    if (nowMs - this.#lastCrashMs > SAME_CRASH_MS) {
      this.#crashCount++;
    }
    this.#lastCrashMs = nowMs;
    recordCrash(`${relayId}-${this.#crashCount}`, lost);
  }

  #fingerprintIfMarks(request: QuarantinedRequest): string | undefined {
    return this.#options.marks.size > 0 ? fingerprintOf(request) : undefined;
  }
}

function fingerprintOf(request: QuarantinedRequest): string | undefined {
  const {method, url, headers, body} = request;
  if (body instanceof Readable) {
    return undefined;
  }
  const host = headerValue(headers, 'host') ?? '';
  const caller = headerValue(headers, wireHeaders.callerService) ?? '';
  return requestFingerprint({method, path: `${host}${url}`, body, caller});
}
