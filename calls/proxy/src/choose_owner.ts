import type {RefusalReason} from '@carobseam/calls.types';
import {rendezvousOrder, type WorkerEndpoint} from '@carobseam/fleet.types';
import type {CallData} from './call_data.js';
import type {CallDependencies} from './call_dependencies.js';

/** The only worker that a keyed call may go to, or why there is none. */
export type ChosenOwner =
  | {kind: 'worker'; worker: WorkerEndpoint}
  | {
      kind: 'refused';
      reason: RefusalReason;
      /** Whether the reason already allows for earlier sends of the key. */
      trusted: boolean;
    };

/** Finds the worker that owns the key of a call. */
export function chooseOwner(
  parts: CallDependencies,
  data: CallData,
): ChosenOwner {
  const {key, firstSend, resolved} = data;
  const service = resolved.service.name;
  const workers = parts.blackboard.read('endpoints').get(service) ?? [];
  if (key!.dataCentre !== parts.dataCentre) {
    return chooseInDataCentre(data, workers);
  }
  const decision = parts.ownerChooser.choose(key!, service, firstSend);
  if (decision.kind === 'refuse') {
    return {kind: 'refused', reason: decision.reason, trusted: true};
  }
  if (decision.vmId === parts.vmId) {
    return {kind: 'worker', worker: ownEndpoint(parts)};
  }
  const worker = workers.find(({vmId}) => vmId === decision.vmId);
  return worker
    ? {kind: 'worker', worker}
    : {kind: 'refused', reason: 'owner_unreachable', trusted: false};
}

/**
 * The key's data centre decides about its owner. The first worker in
 * rendezvous order is the owner, unless membership differs from the list of
 * VMs; it refuses the key when it is not.
 */
function chooseInDataCentre(
  {key}: CallData,
  workers: readonly WorkerEndpoint[],
): ChosenOwner {
  const candidates = workers.filter(
    worker => worker.dataCentre === key!.dataCentre && !worker.leaving,
  );
  const [owner] = rendezvousOrder(key!.text, candidates, ({vmId}) => vmId);
  return owner
    ? {kind: 'worker', worker: owner}
    : {kind: 'refused', reason: 'no_worker', trusted: false};
}

function ownEndpoint(parts: CallDependencies): WorkerEndpoint {
  const {vmId, dataCentre, service, address, port} = parts;
  return {
    vmId,
    dataCentre,
    service,
    address,
    callersPort: port,
    leaving: false,
  };
}
