import type {LogFields} from '@carobseam/core.logger';

/** Records the decisions that touch requests, for logs and metrics. */
export interface RequestLog {
  /** A request was sent towards a worker, or would have been. */
  requestPlaced(fields: LogFields): void;
  /** An attempt ended other than by an answer to deliver. */
  attemptFailed(reason: string, fields: LogFields): void;
  /** A repeat was not made because the budget is spent. */
  retryBudgetExhausted(service: string): void;
  /** A request ended. `durationMs` counts from its arrival. */
  requestEnded(outcome: string, durationMs: number, fields: LogFields): void;
  /** A request of another relay was refused or failed here. */
  gateDecision(reason: string, fields: LogFields): void;
}
