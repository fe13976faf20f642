import type {MetricTable} from './metric_definition.js';

/** Metrics of a daemon about the communication with other daemons. */
export const fleetMetrics = {
  carobseam_control_bytes_total: {
    type: 'counter',
    help: 'Control traffic in bytes, by direction and kind.',
    labels: ['direction', 'kind'],
  },
  carobseam_peers: {
    type: 'gauge',
    help: 'Peers of the data centre, by state.',
    labels: ['state'],
  },
  carobseam_probes_total: {
    type: 'counter',
    help: 'Membership probes, by outcome.',
    labels: ['outcome'],
  },
  carobseam_messages_dropped_total: {
    type: 'counter',
    help: 'Messages from peers that were dropped, by reason.',
    labels: ['reason'],
  },
  carobseam_transfers_total: {
    type: 'counter',
    help: 'Transfers of versions between daemons, by kind and outcome.',
    labels: ['kind', 'outcome'],
  },
  carobseam_version_exchanges_total: {
    type: 'counter',
    help: 'Versions exchanged with other data centres, by outcome.',
    labels: ['outcome'],
  },
  carobseam_process_pauses_total: {
    type: 'counter',
    help: 'Pauses of this process that were detected.',
    labels: [],
  },
} as const satisfies MetricTable;
