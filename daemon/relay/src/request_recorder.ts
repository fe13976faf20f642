import type {RequestLog, WorkerStatement} from '@carobseam/calls.relay';
import type {WorkerId} from '@carobseam/config.mesh';
import type {LogFields} from '@carobseam/core.logger';
import type {Metrics} from '@carobseam/core.metrics';
import type {RateLimitedLog} from './rate_limited_log.js';

const MS_PER_S = 1000;
const LOGGED_READ_DELAY_MS = 200; // two fifths of the shortest target latency of callers

/** Records the events of requests in the log and in the metrics. */
export class RequestRecorder implements RequestLog {
  readonly #log: RateLimitedLog;
  readonly #metrics: Metrics;

  constructor(log: RateLimitedLog, metrics: Metrics) {
    this.#log = log;
    this.#metrics = metrics;
  }

  requestPlaced(fields: LogFields): void {
    this.#log.logRoutine('request_placed', fields);
  }

  attemptFailed(reason: string, fields: LogFields): void {
    this.#metrics.increment('carobseam_relay_attempts_failed_total', {reason});
    this.#log.logImportant('attempt_failed', {attempt: reason, ...fields});
  }

  hopSilent(fields: LogFields & {outcome: string}): void {
    const {outcome} = fields;
    this.#metrics.increment('carobseam_relay_silent_hops_total', {outcome});
    this.#log.logImportant('hop_silent', fields);
  }

  retryBudgetExhausted(service: string): void {
    this.#metrics.increment('carobseam_relay_budget_spent_total', {service});
  }

  requestEnded(outcome: string, durationMs: number, fields: LogFields): void {
    this.#metrics.increment('carobseam_relay_requests_total', {outcome});
    this.#metrics.observe(
      'carobseam_relay_request_seconds',
      durationMs / MS_PER_S,
      {outcome},
    );
    const allFields = {...fields, durationMs: Math.round(durationMs), outcome};
    if (outcome === 'answered') {
      this.#log.logRoutine('request_ended', allFields);
    } else {
      this.#log.logImportant('request_ended', allFields);
    }
  }

  hopRead(delayMs: number): void {
    this.readDelay('inbound', delayMs);
  }

  /** Records how long a request on a listener waited until it was read, in ms. */
  readDelay(listener: string, delayMs: number): void {
    this.#metrics.observe(
      'carobseam_relay_read_delay_seconds',
      delayMs / MS_PER_S,
      {listener},
    );
    if (delayMs > LOGGED_READ_DELAY_MS) {
      this.#log.logImportant('read_delayed', {
        listener,
        delayMs: Math.round(delayMs),
      });
    }
  }

  gateDecision(reason: string, fields: LogFields): void {
    this.#metrics.increment('carobseam_relay_gate_refusals_total', {reason});
    this.#log.logImportant('gate_decision', {reason, ...fields});
  }

  /** Records a crash of the local worker, with the number of requests that it ended. */
  workerCrashed(crashId: string, inFlight: number): void {
    this.#metrics.increment('carobseam_relay_worker_crashes_total');
    this.#log.logImportant('worker_crashed', {crashId, inFlight});
  }

  /** Records what the local worker has stated about itself in a response. */
  workerStatement(id: WorkerId, statement: WorkerStatement): void {
    const {rateLimitPerS, isLeaving} = statement;
    this.#metrics.set('carobseam_relay_worker_rate_limit', rateLimitPerS ?? 0);
    this.#log.logger.info('worker_statement', {
      worker: id,
      rateLimitPerS,
      isLeaving,
    });
  }
}
