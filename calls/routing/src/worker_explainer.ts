import type {LocalLoad} from '@carobseam/calls.types';
import type {WorkerEndpoint} from '@carobseam/fleet.types';
import type {ResolvedRoute} from './resolve_route.js';

/** Whether a call could be sent to a worker now, and why not. */
export interface WorkerExplanation {
  readonly worker: WorkerEndpoint;
  readonly usable: boolean;
  /** Why the worker is excluded; absent when it is usable. */
  readonly reason?: string;
  /** Last reported load; absent when there is no recent report. */
  readonly load?: LocalLoad;
}

/** Explains which workers could be chosen, without choosing one. */
export interface WorkerExplainer {
  /** Explains every known worker of the route's service. */
  explainWorkers(resolved: ResolvedRoute): readonly WorkerExplanation[];
}
