import type {Clock, ServiceName} from '@carobseam/core.types';
import {RetryBudget} from './retry_budget.js';

// A retried request sends its own calls to other services again, and those count
// as retries at the called services. With 1.4 calls for each request, as the
// users' specification states, and both services retrying as much as they may, a
// third of the ratio keeps the called service within the ratio.
const DIRECT_RETRY_SHARE = 0.35;
const PERCENT = 100;

/** Options of `ServiceRetryBudgets`. */
export interface ServiceRetryBudgetsOptions {
  clock: Clock;
  /** Share of the requests to a service that all relays together may retry. */
  ratio: number;
  /** Retries in 10 s that all relays together may make beyond the ratio. */
  slack: number;
  /** Number of relays that share the slack. */
  relayCount: () => number;
}

/** This relay's part of the retry budget of each service. */
export class ServiceRetryBudgets {
  readonly #options: ServiceRetryBudgetsOptions;
  readonly #byService = new Map<ServiceName, RetryBudget>();

  constructor(options: ServiceRetryBudgetsOptions) {
    this.#options = options;
  }

  /** Counts a request that was sent to a worker of the service. */
  countCall(service: ServiceName): void {
    this.#budgetOf(service).countCall();
  }

  /**
   * Takes one retry; false when this relay's part of the budget is exhausted.
   */
  take(service: ServiceName): boolean {
    const {ratio, slack, relayCount} = this.#options;
    return this.#budgetOf(service).take(
      ratio * DIRECT_RETRY_SHARE * PERCENT,
      Math.floor((slack * DIRECT_RETRY_SHARE) / Math.max(1, relayCount())),
    );
  }

  #budgetOf(service: ServiceName): RetryBudget {
    let budget = this.#byService.get(service);
    if (!budget) {
      budget = new RetryBudget(this.#options.clock);
      this.#byService.set(service, budget);
    }
    return budget;
  }
}
