import type {DaemonBlackboard} from '@carobseam/core.blackboard';
import type {DataCentreName, VmId} from '@carobseam/core.types';
import type {
  ResolvedRoute,
  WorkerExplainer,
  WorkerExplanation,
} from '@carobseam/calls.routing';
import type {WorkerEndpoint} from '@carobseam/fleet.types';

/** Options of an `EndpointExplainer`. */
export interface EndpointExplainerOptions {
  vmId: VmId;
  dataCentre: DataCentreName;
  blackboard: DaemonBlackboard;
}

/**
 * Explains which workers of a route are usable, from the blackboard's endpoints,
 * members and load of the local worker. It does not take into account ejections
 * and the loads that other workers reported.
 */
export class EndpointExplainer implements WorkerExplainer {
  readonly #options: EndpointExplainerOptions;

  constructor(options: EndpointExplainerOptions) {
    this.#options = options;
  }

  explainWorkers(resolved: ResolvedRoute): WorkerExplanation[] {
    const {vmId, blackboard} = this.#options;
    const workers = blackboard.read('endpoints').get(resolved.service.name);
    return (workers ?? []).map(worker => {
      const reason = this.#findExclusionReason(worker, resolved);
      const load =
        worker.vmId === vmId ? blackboard.read('localLoad') : undefined;
      return {worker, usable: reason === undefined, reason, load};
    });
  }

  #findExclusionReason(
    worker: WorkerEndpoint,
    resolved: ResolvedRoute,
  ): string | undefined {
    const {dataCentre, blackboard} = this.#options;
    const member = blackboard.read('members').get(worker.vmId);
    if (worker.leaving || member?.state === 'leaving') {
      return 'leaving';
    }
    if (member?.state === 'dead') {
      return 'dead';
    }
    const isRemote = worker.dataCentre !== dataCentre;
    if (isRemote && !resolved.policy.allowOtherDataCentres) {
      return 'in another data centre, which the policy does not allow';
    }
    return undefined;
  }
}
