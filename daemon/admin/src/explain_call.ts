import type {DaemonBlackboard} from '@carobseam/core.blackboard';
import {resolveRoute, type WorkerExplainer} from '@carobseam/calls.routing';
import type {CallExplanation} from './call_explanation_schema.js';

/** Options of `explainCall`. */
export interface ExplainCallOptions {
  vmId: string;
  method: string;
  /** Request target; a query string is ignored. */
  path: string;
  blackboard: DaemonBlackboard;
  workers: WorkerExplainer;
}

/**
 * Explains which route matches a call and which workers could serve it, according
 * to the active configuration.
 */
export function explainCall(options: ExplainCallOptions): CallExplanation {
  const {vmId, method, path, blackboard} = options;
  const snapshot = blackboard.read('snapshot');
  const base = {
    vmId,
    method,
    path,
    lifecycle: blackboard.read('lifecycle'),
    version: snapshot?.version ?? 0,
  };
  const resolved = snapshot && resolveRoute(snapshot, method, path);
  if (!resolved) {
    return {...base, workers: []};
  }
  const {route, service, policy} = resolved;
  const workers = options.workers
    .explainWorkers(resolved)
    .map(({worker, usable, reason, load}) => ({
      vmId: worker.vmId,
      dataCentre: worker.dataCentre,
      address: worker.address,
      callersPort: worker.callersPort,
      usable,
      reason,
      load,
    }));
  return {...base, route, service, policy, workers};
}
