import type {MetricTable} from './metric_definition.js';

/** Metrics of a daemon about the calls between callers and upstreams. */
export const callMetrics = {
  carobseam_calls_total: {
    type: 'counter',
    help: 'Calls that ended, by operation class and outcome.',
    labels: ['class', 'outcome'],
  },
  carobseam_refusals_total: {
    type: 'counter',
    help: 'Calls that were refused, by refusal kind and reason.',
    labels: ['refusal', 'reason'],
  },
  carobseam_retries_total: {
    type: 'counter',
    help: 'Retries of calls, by reason.',
    labels: ['reason'],
  },
  carobseam_retries_refused_total: {
    type: 'counter',
    help: 'Retries that were not made, by reason.',
    labels: ['reason'],
  },
  carobseam_queue_seconds: {
    type: 'histogram',
    help: 'Time that calls waited for a slot, by operation class.',
    labels: ['class'],
    buckets: [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10],
  },
  carobseam_slots_busy: {
    type: 'gauge',
    help: 'Slots of the worker that are in use.',
    labels: [],
  },
  carobseam_ejections_total: {
    type: 'counter',
    help: 'Workers that were ejected from load balancing, by reason.',
    labels: ['reason'],
  },
  carobseam_connections_replaced_total: {
    type: 'counter',
    help: 'Connections that were closed and replaced, by reason.',
    labels: ['reason'],
  },
  carobseam_crash_marks: {
    type: 'gauge',
    help: 'Requests that are marked because a worker crashed while running them.',
    labels: [],
  },
  carobseam_idempotency_keys: {
    type: 'gauge',
    help: 'Idempotency keys whose outcome is stored.',
    labels: [],
  },
} as const satisfies MetricTable;
