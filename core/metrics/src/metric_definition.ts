/** Declaration of one metric; names follow the Prometheus conventions. */
export interface MetricDefinition {
  type: 'counter' | 'gauge' | 'histogram';
  help: string;
  labels: readonly string[];
  /** Upper bounds of the buckets of a histogram. */
  buckets?: readonly number[];
}

/** Metric declarations by name. */
export type MetricTable = Readonly<Record<string, MetricDefinition>>;
