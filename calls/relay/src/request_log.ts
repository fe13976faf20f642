import type {LogFields} from '@carobseam/core.logger';

/** Records events of requests in the log and in the metrics. */
export interface RequestLog {
  /** A worker was chosen for an attempt; the attempt may still not be sent. */
  requestPlaced(fields: LogFields): void;
  /**
   * An attempt ended without a response that can be delivered to the caller.
   */
  attemptFailed(reason: string, fields: LogFields): void;
  /** A hop to another relay is silent; its attempt stays in progress. */
  hopSilent(fields: LogFields & {outcome: 'hedged' | 'waiting'}): void;
  /**
   * A retry was not made because the retry budget of the service is exhausted.
   */
  retryBudgetExhausted(service: string): void;
  /** A request ended. `durationMs` counts from its arrival. */
  requestEnded(outcome: string, durationMs: number, fields: LogFields): void;
  /** A request from another relay was read `delayMs` after it could have been. */
  hopRead(delayMs: number): void;
  /** A request from another relay was refused or failed at this relay. */
  gateDecision(reason: string, fields: LogFields): void;
}
