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
  /** Number of retries already made for the call. */
  readonly retryCount: number;
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
  readonly policy: PolicyResource;
  readonly deadlineMs: number;
  /** Whether a daemon further down the call chain has already retried. */
  readonly retriedBefore: boolean;
  /** Whether the request body is buffered, so that it can be sent again. */
  readonly isBodyBuffered: boolean;
}

/** Maximum number of retries of one call, regardless of its policy. */
const MAX_RETRIES = 2;
/** With less remaining time, a retry would run into the deadline. */
const MIN_REMAINING_MS = 5;

type RetryExclusion = (attempt: FailedAttempt, nowMs: number) => boolean;

/**
 * Conditions that exclude a retry, by the reason in the metrics, in the order
 * in which they are checked.
 */
const retryExclusions: Readonly<Record<string, RetryExclusion>> = {
  not_repeatable: ({reason, repeatable}) =>
    refusalDefinitions[reason].kind === 'outcome-unknown' && !repeatable,
  final: ({reason}) => isFinal(reason),
  retried_before: ({retriedBefore}) => retriedBefore,
  body_streamed: ({isBodyBuffered}) => !isBodyBuffered,
  deadline: ({deadlineMs}, nowMs) => deadlineMs - nowMs < MIN_REMAINING_MS,
  attempts: ({retryCount: retries, policy}) =>
    retries >= Math.min(MAX_RETRIES, policy.maxRetries),
};

/** Decides whether a daemon retries a call after a failed attempt. */
export class RetryDecider {
  readonly #options: RetryDeciderOptions;
  readonly #budgets = new Map<PolicyName, RetryBudget>();

  constructor(options: RetryDeciderOptions) {
    this.#options = options;
  }

  /** Counts a call for the retry budget of its policy. */
  countCall(policy: PolicyResource): void {
    this.#budgetOf(policy).countCall();
  }

  /**
   * Returns whether to retry. Takes the retry from the budget and counts the
   * decision in the metrics.
   */
  decide(attempt: FailedAttempt): boolean {
    const {metrics} = this.#options;
    const exclusionReason = this.#findExclusionReason(attempt);
    if (exclusionReason) {
      metrics.increment('carobseam_retries_refused_total', {
        reason: exclusionReason,
      });
      return false;
    }
    metrics.increment('carobseam_retries_total', {reason: attempt.reason});
    return true;
  }

  #findExclusionReason(attempt: FailedAttempt): string | undefined {
    const nowMs = this.#options.clock.monotonicMs();
    for (const [reason, applies] of Object.entries(retryExclusions)) {
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
  // A peer without the route has another configuration version; another peer
  // may have the route.
  return kind === 'not-run' && !retryable && reason !== 'no_route';
}
