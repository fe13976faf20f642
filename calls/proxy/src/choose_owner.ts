import type {RefusalReason} from '@carobseam/calls.types';
import {rendezvousOrder, type WorkerEndpoint} from '@carobseam/fleet.types';
import type {CallData} from './call_data.js';
import type {CallDependencies} from './call_dependencies.js';

/** The only worker that may receive a keyed call, or why there is none. */
export type ChosenOwner =
  | {kind: 'worker'; worker: WorkerEndpoint}
  | {
      kind: 'refused';
      reason: RefusalReason;
      /** Whether the reason already covers earlier sends of the key. */
      isKeyReason: boolean;
    };

/** Chooses the worker that owns the idempotency key of a call. */
export function chooseOwner(
  dependencies: CallDependencies,
  data: CallData,
): ChosenOwner {
  const {key, firstSend, resolved} = data;
  const service = resolved.service.name;
  const workers = dependencies.blackboard.read('endpoints').get(service) ?? [];
  if (key!.dataCentre !== dependencies.dataCentre) {
    return chooseInKeyDataCentre(data, workers);
  }
  const decision = dependencies.ownerChooser.choose(key!, service, firstSend);
  if (decision.kind === 'refuse') {
    return {kind: 'refused', reason: decision.reason, isKeyReason: true};
  }
  if (decision.vmId === dependencies.vmId) {
    return {kind: 'worker', worker: createOwnEndpoint(dependencies)};
  }
  const worker = workers.find(({vmId}) => vmId === decision.vmId);
  return worker
    ? {kind: 'worker', worker}
    : {kind: 'refused', reason: 'owner_unreachable', isKeyReason: false};
}

/**
 * Chooses the likely owner of a key of another data centre. The owner is
 * decided in the key's data centre: usually the first worker in rendezvous
 * order, unless the membership there differs from the list of VMs. A worker
 * that is not the owner refuses the key.
 */
function chooseInKeyDataCentre(
  {key}: CallData,
  workers: readonly WorkerEndpoint[],
): ChosenOwner {
  const candidates = workers.filter(
    worker => worker.dataCentre === key!.dataCentre && !worker.leaving,
  );
  const [owner] = rendezvousOrder(key!.text, candidates, ({vmId}) => vmId);
  return owner
    ? {kind: 'worker', worker: owner}
    : {kind: 'refused', reason: 'no_worker', isKeyReason: false};
}

function createOwnEndpoint(dependencies: CallDependencies): WorkerEndpoint {
  const {vmId, dataCentre, service, address, port} = dependencies;
  return {
    vmId,
    dataCentre,
    service,
    address,
    callersPort: port,
    leaving: false,
  };
}
