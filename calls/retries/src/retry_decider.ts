import {refusalDefinitions, type RefusalReason} from '@carobseam/calls.types';
import type {PolicyResource} from '@carobseam/config.types';
import type {Metrics} from '@carobseam/core.metrics';
import type {Clock, PolicyName} from '@carobseam/core.types';
import {RetryBudget} from './retry_budget.js';

/** Options of a `RetryDecider`. */
export interface RetryDeciderOptions {
  clock: Clock;
  metrics: Metrics;
}

/** A failed attempt of a call. */
export interface FailedAttempt {
  readonly reason: RefusalReason;
  /** Retries that the call has made. */
  readonly retries: number;
  readonly repeatable: boolean;
  readonly policy: PolicyResource;
  readonly deadlineMs: number;
  /** Whether a daemon further down the chain has retried it. */
  readonly retriedBefore: boolean;
  /** Whether the request body can be sent again. */
  readonly isBodyBuffered: boolean;
}

/** Most retries of one call, whatever its policy says. */
const MAX_RETRIES = 2;
/** With less time left, a retry would end at the deadline, ms. */
const MIN_REMAINING_MS = 5;

type Veto = (attempt: FailedAttempt, nowMs: number) => boolean;

/** Conditions under which there is no retry, in the order of their check. */
const vetoes: Readonly<Record<string, Veto>> = {
  not_repeatable: ({reason, repeatable}) =>
    refusalDefinitions[reason].kind === 'outcome-unknown' && !repeatable,
  final: ({reason}) => isFinal(reason),
  retried_before: ({retriedBefore}) => retriedBefore,
  body_streamed: ({isBodyBuffered: bodyKept}) => !bodyKept,
  deadline: ({deadlineMs}, nowMs) => deadlineMs - nowMs < MIN_REMAINING_MS,
  attempts: ({retries, policy}) =>
    retries >= Math.min(MAX_RETRIES, policy.maxRetries),
};

/** Decides whether the daemon that saw a failure sends the call again. */
export class RetryDecider {
  readonly #options: RetryDeciderOptions;
  readonly #budgets = new Map<PolicyName, RetryBudget>();

  constructor(options: RetryDeciderOptions) {
    this.#options = options;
  }

  /** Counts a call, of which a share may be retried. */
  countCall(policy: PolicyResource): void {
    this.#budgetOf(policy).countCall();
  }

  /** Whether to retry; spends the budget and counts the decision. */
  decide(attempt: FailedAttempt): boolean {
    const {metrics} = this.#options;
    const veto = this.#findVeto(attempt);
    if (veto) {
      metrics.increment('carobseam_retries_refused_total', {reason: veto});
      return false;
    }
    metrics.increment('carobseam_retries_total', {reason: attempt.reason});
    return true;
  }

  #findVeto(attempt: FailedAttempt): string | undefined {
    const nowMs = this.#options.clock.monotonicMs();
    for (const [reason, applies] of Object.entries(vetoes)) {
      if (applies(attempt, nowMs)) {
        return reason;
      }
    }
    const {policy} = attempt;
    const hasBudget = this.#budgetOf(policy).take(policy.retryBudgetPercent);
    return hasBudget ? undefined : 'budget';
  }

  #budgetOf(policy: PolicyResource): RetryBudget {
    let budget = this.#budgets.get(policy.name);
    if (!budget) {
      budget = new RetryBudget(this.#options.clock);
      this.#budgets.set(policy.name, budget);
    }
    return budget;
  }
}

/** Whether another worker would refuse the call for the same reason. */
function isFinal(reason: RefusalReason): boolean {
  const {kind, retryable} = refusalDefinitions[reason];
  // A peer that lacks the route has another version; a third may have it.
  return kind === 'not-run' && !retryable && reason !== 'no_route';
}
