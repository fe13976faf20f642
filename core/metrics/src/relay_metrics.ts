import type {MetricTable} from './metric_definition.js';

/** Metrics of a relay, the process on each VM of the users' platform. */
export const relayMetrics = {
  carobseam_relay_requests_total: {
    type: 'counter',
    help: 'Requests from callers on this VM, by outcome.',
    labels: ['outcome'],
  },
  carobseam_relay_request_seconds: {
    type: 'histogram',
    help: 'Time from a request to its response, by outcome.',
    labels: ['outcome'],
    buckets: [0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2.5, 5, 10],
  },
  carobseam_relay_attempts_failed_total: {
    type: 'counter',
    help: 'Attempts without a response that could be delivered, by reason.',
    labels: ['reason'],
  },
  carobseam_relay_silent_hops_total: {
    type: 'counter',
    help: 'Hops to other relays that were silent, by what was done: another attempt beside it (hedged) or none (waiting).',
    labels: ['outcome'],
  },
  carobseam_relay_budget_spent_total: {
    type: 'counter',
    help: 'Retries that were not made because the retry budget was exhausted.',
    labels: ['service'],
  },
  carobseam_relay_gate_refusals_total: {
    type: 'counter',
    help: 'Requests to the local worker that its gate refused or that failed there, by reason.',
    labels: ['reason'],
  },
  carobseam_relay_worker_connections_total: {
    type: 'counter',
    help: 'Connections that were opened to the local worker.',
    labels: [],
  },
  carobseam_relay_worker_crashes_total: {
    type: 'counter',
    help: 'Crashes of the local worker that ended requests.',
    labels: [],
  },
  carobseam_relay_worker_rate_limit: {
    type: 'gauge',
    help: 'Requests per second that the local worker accepts; 0 when it states no limit.',
    labels: [],
  },
  carobseam_relay_store_calls_total: {
    type: 'counter',
    help: 'Calls to the store, by outcome.',
    labels: ['outcome'],
  },
  carobseam_relay_log_lines_dropped_total: {
    type: 'counter',
    help: 'Log lines that were dropped to limit the log volume.',
    labels: [],
  },
  carobseam_relay_config_version: {
    type: 'gauge',
    help: 'Version of the active configuration.',
    labels: [],
  },
  carobseam_relay_config_age_seconds: {
    type: 'histogram',
    help: 'Age of a configuration version when this relay put it into force: time since the first relay on its way received it from the store.',
    labels: [],
    buckets: [0.05, 0.1, 0.2, 0.5, 1, 1.5, 2, 2.5, 5, 10],
  },
  carobseam_relay_source_era: {
    type: 'gauge',
    help: 'Era of the store after it was last restored from a copy; 0 when this relay has not seen that.',
    labels: [],
  },
  carobseam_relay_vms_down: {
    type: 'gauge',
    help: 'VMs that this relay cannot reach now.',
    labels: [],
  },
  carobseam_relay_event_loop_delay_seconds: {
    type: 'histogram',
    help: 'Delay of a timer that runs every 250 ms; a long one shows a lack of processor time.',
    labels: [],
    buckets: [0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 2, 5],
  },
  carobseam_relay_read_delay_seconds: {
    type: 'histogram',
    help: 'Time that requests waited until they were read, by listener: of the first request on a new connection (outbound), measured by connections of the relay to itself while its event loop is never idle; of each request from another relay (inbound), by the stamp of its sender.',
    labels: ['listener'],
    buckets: [0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5],
  },
} as const satisfies MetricTable;
