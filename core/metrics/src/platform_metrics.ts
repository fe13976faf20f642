import type {MetricTable} from './metric_definition.js';

/** Metrics of a daemon about its calls to the platform. */
export const platformMetrics = {
  carobseam_platform_calls_total: {
    type: 'counter',
    help: 'Calls to the platform; a pending watch counts as one call.',
    labels: ['operation', 'outcome'],
  },
  carobseam_vm_list_index: {
    type: 'gauge',
    help: 'Index of the VM list that this daemon holds, as assigned by the platform.',
    labels: [],
  },
  carobseam_platform_reader: {
    type: 'gauge',
    help: '1 while this daemon reads the platform for its data centre.',
    labels: [],
  },
} as const satisfies MetricTable;
