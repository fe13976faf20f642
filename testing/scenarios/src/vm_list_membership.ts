import type {
  DaemonBlackboard,
  MemberView,
  VmListHint,
} from '@carobseam/core.blackboard';
import type {
  Controller,
  DataCentreName,
  ServiceName,
  VmId,
} from '@carobseam/core.types';
import type {MemberRecord, WorkerEndpoint} from '@carobseam/fleet.types';
import type {ListedVm} from '@carobseam/config.published_reader';

/** Options of a `VmListBridge`. */
export interface VmListMembershipOptions {
  self: MemberRecord;
  dataCentre: DataCentreName;
  blackboard: DaemonBlackboard;
}

/**
 * Fills `members`, `endpoints` and `remotePeers` from `vmList`, in place of the
 * membership protocol.
 */
export class VmListMembership implements Controller {
  readonly #options: VmListMembershipOptions;
  #stopObserving?: () => void;

  constructor(options: VmListMembershipOptions) {
    this.#options = options;
  }

  async start(): Promise<void> {
    const {blackboard} = this.#options;
    this.#write(blackboard.read('vmList'));
    this.#stopObserving = blackboard.observe('vmList', list =>
      this.#write(list),
    );
  }

  async close(): Promise<void> {
    this.#stopObserving?.();
  }

  #write({vms}: VmListHint): void {
    const {self, dataCentre, blackboard} = this.#options;
    const members = new Map<VmId, MemberView>([[self.vmId, self]]);
    for (const vm of vms) {
      if (vm.dataCentre === dataCentre && vm.vmId !== self.vmId) {
        members.set(vm.vmId, toMember(vm));
      }
    }
    const remotePeers = vms.filter(vm => vm.dataCentre !== dataCentre);
    blackboard.write('members', members);
    blackboard.write('endpoints', groupByService(vms.map(toEndpoint)));
    blackboard.write('remotePeers', remotePeers);
  }
}

function toMember(vm: ListedVm): MemberView {
  const {state, ...rest} = vm;
  return {
    ...rest,
    state: state === 'live' ? 'alive' : 'leaving',
    incarnation: 0,
    servingSinceWallMs: 0,
    configVersion: 0,
  };
}

function toEndpoint(vm: ListedVm): WorkerEndpoint {
  const {state, vmId, dataCentre, service, address, callersPort} = vm;
  const leaving = state === 'leaving';
  return {vmId, dataCentre, service, address, callersPort, leaving};
}

function groupByService(
  endpoints: readonly WorkerEndpoint[],
): Map<ServiceName, WorkerEndpoint[]> {
  const groups = new Map<ServiceName, WorkerEndpoint[]>();
  for (const endpoint of endpoints) {
    const group = groups.get(endpoint.service) ?? [];
    group.push(endpoint);
    groups.set(endpoint.service, group);
  }
  return groups;
}
