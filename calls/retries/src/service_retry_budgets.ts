import type {Clock, ServiceName} from '@carobseam/core.types';
import {RetryBudget} from './retry_budget.js';

// Calls of a repeated run count as repeats at the services that it calls. With
// 1.4 calls a run, as the users' sheets state, and both services repeating as
// much as they may, a third of the ratio keeps the called one within it.
const OWN_SHARE = 0.35;
const PERCENT = 100;

/** Options of `RepeatBudgets`. */
export interface ServiceRetryBudgetsOptions {
  clock: Clock;
  /** Share of a service's requests that may be repeated, by all relays. */
  ratio: number;
  /** Repeats of 10 s that all relays together may add to the share. */
  slack: number;
  /** Relays that share the slack. */
  relayCount: () => number;
}

/** This relay's part of the budget of each service. */
export class ServiceRetryBudgets {
  readonly #options: ServiceRetryBudgetsOptions;
  readonly #byService = new Map<ServiceName, RetryBudget>();

  constructor(options: ServiceRetryBudgetsOptions) {
    this.#options = options;
  }

  /** Counts a request that was sent to a worker of a service. */
  countCall(service: ServiceName): void {
    this.#budgetOf(service).countCall();
  }

  /** Takes one repeat; false when this relay's part is spent. */
  take(service: ServiceName): boolean {
    const {ratio, slack, relayCount} = this.#options;
    return this.#budgetOf(service).take(
      ratio * OWN_SHARE * PERCENT,
      Math.floor((slack * OWN_SHARE) / Math.max(1, relayCount())),
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
