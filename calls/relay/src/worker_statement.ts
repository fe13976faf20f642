import {headerValue, type ReceivedHead} from '@carobseam/calls.exchange';
import type {WorkerId} from '@carobseam/config.mesh';
import {wireHeaders} from '@carobseam/platform.adapter';

/** What a worker states about itself in the headers of a response. */
export interface WorkerStatement {
  /** Requests per second that it accepts from all relays together; undefined without a limit. */
  rateLimitPerS?: number;
  /** Whether it is about to exit. */
  isLeaving: boolean;
}

/**
 * Decodes what a worker states in its response headers. A limit that is not a
 * number of 0 or more is ignored.
 */
export function decodeWorkerStatement(
  headers: readonly string[],
): WorkerStatement {
  const limitText = headerValue(headers, wireHeaders.workerRateLimit);
  const rateLimitPerS = limitText ? Number(limitText) : NaN;
  return {
    rateLimitPerS: rateLimitPerS >= 0 ? rateLimitPerS : undefined,
    isLeaving: headerValue(headers, wireHeaders.workerLeaving) === '1',
  };
}

const MISDIRECTED_STATUS = 421; // another worker than the expected one responded

/**
 * Keeps what the worker at an address last stated about itself. A statement
 * belongs to one worker id, because addresses are reused.
 */
export class WorkerStatements {
  #workerId?: WorkerId;
  #statement: WorkerStatement = {isLeaving: false};

  /** The last statement of a worker; undefined when none is known. */
  of(id: WorkerId): WorkerStatement | undefined {
    return id === this.#workerId ? this.#statement : undefined;
  }

  /**
   * Records the head of a response to a request for a worker. Only a signed
   * response lifts a limit, because interim responses and those of other
   * programs may lack the header. A worker that is leaving stays so until it is
   * forgotten: a response that it began earlier may arrive later.
   *
   * @return the statement, if it has changed.
   */
  record(id: WorkerId, head: ReceivedHead): WorkerStatement | undefined {
    if (head.status === MISDIRECTED_STATUS) {
      return undefined;
    }
    const previous = this.of(id);
    const stated = decodeWorkerStatement(head.headers);
    const isSigned =
      headerValue(head.headers, wireHeaders.workerSignature) !== undefined;
    const isSilent = stated.rateLimitPerS === undefined && !stated.isLeaving;
    if (isSilent && !isSigned) {
      return undefined;
    }
    const statement: WorkerStatement = {
      rateLimitPerS: isSigned
        ? stated.rateLimitPerS
        : (stated.rateLimitPerS ?? previous?.rateLimitPerS),
      isLeaving: stated.isLeaving || previous?.isLeaving === true,
    };
    this.#workerId = id;
    this.#statement = statement;
    const isChanged =
      statement.rateLimitPerS !== previous?.rateLimitPerS ||
      statement.isLeaving !== (previous?.isLeaving ?? false);
    return isChanged ? statement : undefined;
  }

  /** Forgets all statements, because the worker has been restarted. */
  forget(): void {
    this.#workerId = undefined;
    this.#statement = {isLeaving: false};
  }
}
