import type {RefusalReason} from '@carobseam/calls.types';
import type {WorkerEndpoint} from '@carobseam/fleet.types';
import type {CallDependencies} from './call_dependencies.js';

/** Failures that count towards the outlier ejection of a worker. */
const WORKER_FAILURES: ReadonlySet<RefusalReason> = new Set<RefusalReason>([
  'starting',
  'worker_down',
  'peer_unreachable',
  'worker_failed',
  'response_timeout',
  'response_incomplete',
  'owner_unreachable',
]);

/** Records the failure of an attempt for the choice of later workers. */
export function recordWorkerFailure(
  {loadBalancer, blackboard}: CallDependencies,
  {vmId, service}: WorkerEndpoint,
  reason: RefusalReason,
): void {
  if (reason === 'leaving') {
    loadBalancer.markLeaving(vmId);
  } else if (WORKER_FAILURES.has(reason)) {
    loadBalancer.recordFailure(vmId, blackboard.read('endpoints').get(service));
  }
}
