import {MIN_REMAINING_MS} from '@carobseam/calls.worker_queue';

/** Outcome of one attempt to send a request to a worker. */
export type AttemptOutcome =
  /** The worker responded with a status below 500. */
  | 'answered'
  /** The worker ran the request and responded with a status of 500 or above. */
  | 'failed'
  /** The request did not reach the worker. */
  | 'notSent'
  /** The worker states that it did not run the request. */
  | 'rejected'
  /** The worker may have run the request. */
  | 'unknown';

/** Inputs for the decision after an attempt. */
export interface StepInputs {
  outcome: AttemptOutcome;
  isIdempotent: boolean;
  /** False after a streamed request body was consumed, even in part. */
  canResend: boolean;
  /** Attempts that reached or may have reached a worker. */
  sentAttempts: number;
  maxAttempts: number;
  /** Whether an earlier attempt of the request may have run. */
  mayHaveRun: boolean;
  /** Attempts that did not reach a worker. */
  unsentAttempts: number;
  /** Time until the caller's or the route's timeout, in ms. */
  expiresInMs: number;
  /**
   * Takes one retry from the retry budget of the service; false when it is
   * exhausted.
   */
  takeRetry: () => boolean;
}

/** What to do after an attempt. */
export type NextStep =
  | 'deliver'
  | 'sendAgain'
  /** Refuse, with the guarantee that no worker ran the request. */
  | 'refuse'
  /** Report to the caller that the outcome is unknown. */
  | 'reportUnknown';

/** Why a request was not sent again. */
export type RetryDenial =
  | 'notIdempotent'
  /** The request body was streamed and is not kept. */
  | 'bodyConsumed'
  /** As many attempts were made as are allowed. */
  | 'attempts'
  | 'time'
  | 'budget';

const MAX_UNSENT_ATTEMPTS = 3; // after three refusals the whole service is probably full

/**
 * Decides whether to deliver, retry, refuse or report an unknown outcome after
 * an attempt. It refuses only if no worker can have run the request.
 */
export function decideNextStep(inputs: StepInputs): NextStep {
  return STEPS[inputs.outcome](inputs);
}

/**
 * Returns why there is no further attempt, for inputs after which
 * `decideNextStep` did not choose to send the request again.
 */
export function retryDenialOf(
  inputs: Omit<StepInputs, 'takeRetry'>,
): RetryDenial {
  const {outcome} = inputs;
  if (!inputs.isIdempotent && (outcome === 'failed' || outcome === 'unknown')) {
    return 'notIdempotent';
  }
  if (!inputs.canResend) {
    return 'bodyConsumed';
  }
  const isLastAttempt =
    outcome === 'notSent'
      ? inputs.unsentAttempts >= MAX_UNSENT_ATTEMPTS
      : inputs.sentAttempts >= inputs.maxAttempts;
  if (isLastAttempt) {
    return 'attempts';
  }
  return inputs.expiresInMs > MIN_REMAINING_MS ? 'budget' : 'time';
}

const STEPS: Record<AttemptOutcome, (inputs: StepInputs) => NextStep> = {
  answered: () => 'deliver',
  failed: inputs =>
    inputs.isIdempotent && canRetry(inputs) ? 'sendAgain' : 'deliver',
  notSent: inputs => {
    const canTryAnother =
      inputs.canResend &&
      inputs.unsentAttempts < MAX_UNSENT_ATTEMPTS &&
      inputs.expiresInMs > MIN_REMAINING_MS;
    return canTryAnother ? 'sendAgain' : giveUp(inputs);
  },
  rejected: inputs => (canRetry(inputs) ? 'sendAgain' : giveUp(inputs)),
  unknown: inputs =>
    inputs.isIdempotent && canRetry(inputs) ? 'sendAgain' : 'reportUnknown',
};

function giveUp(inputs: StepInputs): NextStep {
  return inputs.mayHaveRun ? 'reportUnknown' : 'refuse';
}

function canRetry(inputs: StepInputs): boolean {
  return (
    inputs.canResend &&
    inputs.sentAttempts < inputs.maxAttempts &&
    inputs.expiresInMs > MIN_REMAINING_MS &&
    inputs.takeRetry()
  );
}
