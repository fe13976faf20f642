import {callHeaders, parseLoad} from '@carobseam/calls.types';
import type {WorkerEndpoint} from '@carobseam/fleet.types';
import type {IncomingHttpHeaders} from 'node:http';
import type {CallDependencies} from './call_dependencies.js';

/** Records the load of a call's worker; a peer states it in its response. */
export function recordWorkerLoad(
  {loadBalancer, localWorker, vmId: ownVmId}: CallDependencies,
  {vmId}: WorkerEndpoint,
  headers: IncomingHttpHeaders,
): void {
  if (vmId === ownVmId) {
    loadBalancer.reportLoad(vmId, localWorker.admission.load());
    return;
  }
  const load = parseLoad(headers[callHeaders.load]);
  if (load) {
    loadBalancer.reportLoad(vmId, load);
  }
  if (headers[callHeaders.leaving] === '1') {
    loadBalancer.markLeaving(vmId);
  }
}
