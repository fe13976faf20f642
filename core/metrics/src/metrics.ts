// The main module also loads the default metrics and HTTPS, which delays each start.
import Counter from 'prom-client/lib/counter.js';
import Gauge from 'prom-client/lib/gauge.js';
import Histogram from 'prom-client/lib/histogram.js';
import Registry from 'prom-client/lib/registry.js';
import {callMetrics} from './call_metrics.js';
import {configMetrics} from './config_metrics.js';
import {fleetMetrics} from './fleet_metrics.js';
import type {MetricDefinition} from './metric_definition.js';
import {platformMetrics} from './platform_metrics.js';
import {relayMetrics} from './relay_metrics.js';

/** All metrics of daemons and relays. Each process exposes all of them. */
export const metricDefinitions = {
  ...configMetrics,
  ...platformMetrics,
  ...fleetMetrics,
  ...callMetrics,
  ...relayMetrics,
};

/** Name of a declared metric. */
export type MetricName = keyof typeof metricDefinitions;

type Labels = Record<string, string>;

type NamesOfType<Type extends MetricDefinition['type']> = {
  [Name in MetricName]: (typeof metricDefinitions)[Name]['type'] extends Type
    ? Name
    : never;
}[MetricName];

/** Metric registry of one process, with all declared metrics. */
export class Metrics {
  readonly #registry = new Registry();
  readonly #counters = new Map<string, Counter>();
  readonly #gauges = new Map<string, Gauge>();
  readonly #histograms = new Map<string, Histogram>();

  constructor() {
    for (const [name, definition] of Object.entries(metricDefinitions)) {
      this.#register(name, definition);
    }
  }

  /** Adds to a counter. */
  increment(name: NamesOfType<'counter'>, labels: Labels = {}, by = 1): void {
    this.#counters.get(name)?.inc(labels, by);
  }

  /** Sets a gauge. */
  set(name: NamesOfType<'gauge'>, value: number, labels: Labels = {}): void {
    this.#gauges.get(name)?.set(labels, value);
  }

  /** Records one value in a histogram. */
  observe(
    name: NamesOfType<'histogram'>,
    value: number,
    labels: Labels = {},
  ): void {
    this.#histograms.get(name)?.observe(labels, value);
  }

  /** Returns the sum of a counter over the label sets that contain `labels`. */
  async total(
    name: NamesOfType<'counter'>,
    labels: Labels = {},
  ): Promise<number> {
    const metric = await this.#counters.get(name)!.get();
    const requiredLabels = Object.entries(labels);
    return metric.values
      .filter(entry =>
        requiredLabels.every(([key, v]) => entry.labels[key] === v),
      )
      .reduce((sum, entry) => sum + entry.value, 0);
  }

  /** Returns all metrics in the Prometheus text format, with its content type. */
  async expose(): Promise<{contentType: string; body: string}> {
    return {
      contentType: this.#registry.contentType,
      body: await this.#registry.metrics(),
    };
  }

  #register(name: string, definition: MetricDefinition): void {
    const config = {
      name,
      help: definition.help,
      labelNames: [...definition.labels],
      registers: [this.#registry],
    };
    const registerByType = {
      counter: () => this.#counters.set(name, new Counter(config)),
      gauge: () => this.#gauges.set(name, new Gauge(config)),
      histogram: () =>
        this.#histograms.set(
          name,
          new Histogram({...config, buckets: [...(definition.buckets ?? [])]}),
        ),
    };
    registerByType[definition.type]();
  }
}
