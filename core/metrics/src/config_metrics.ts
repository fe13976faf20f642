import type {MetricTable} from './metric_definition.js';

/** Metrics of a daemon about its configuration. */
export const configMetrics = {
  carobseam_config_version: {
    type: 'gauge',
    help: 'Configuration version that is active, 0 before the first.',
    labels: [],
  },
  carobseam_config_versions_applied_total: {
    type: 'counter',
    help: 'Configuration versions applied, by the way they arrived.',
    labels: ['source'],
  },
  carobseam_config_versions_refused_total: {
    type: 'counter',
    help: 'Configuration versions rejected, by reason.',
    labels: ['reason'],
  },
  carobseam_config_convergence_lag_seconds: {
    type: 'histogram',
    help: 'Time from the first read of a version by any daemon to its application by this one.',
    labels: [],
    buckets: [0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30],
  },
} as const satisfies MetricTable;
