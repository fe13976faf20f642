import type {RemotePeer} from '@carobseam/core.blackboard';
import type {DataCentreName, ServiceName} from '@carobseam/core.types';
import type {WorkerEndpoint} from '@carobseam/fleet.types';
import type {ListedVm} from '@carobseam/config.published_reader';
import {
  isServing,
  type MemberTable,
  type TrackedMember,
} from './member_table.js';

/**
 * Groups all known workers by service. Those of this data centre come from the
 * member table, those of other data centres from the platform's list of VMs.
 */
export function groupEndpointsByService(
  table: MemberTable,
  vms: readonly ListedVm[],
): Map<ServiceName, WorkerEndpoint[]> {
  const peers = [...table.peers].filter(canReceiveCalls);
  const localRecords = [table.self, ...peers.map(({record}) => record)];
  const endpoints = [
    ...localRecords.map(record =>
      toEndpoint(record, record.state === 'leaving'),
    ),
    ...filterRemoteVms(table.self.dataCentre, vms).map(vm =>
      toEndpoint(vm, vm.state === 'leaving'),
    ),
  ];
  const groups = new Map<ServiceName, WorkerEndpoint[]>();
  for (const endpoint of endpoints) {
    const group = groups.get(endpoint.service) ?? [];
    group.push(endpoint);
    groups.set(endpoint.service, group);
  }
  return groups;
}

/** Lists the daemons of other data centres from the platform's list of VMs. */
export function listRemotePeers(
  dataCentre: DataCentreName,
  vms: readonly ListedVm[],
): RemotePeer[] {
  return filterRemoteVms(dataCentre, vms).map(vm => ({
    vmId: vm.vmId,
    dataCentre: vm.dataCentre,
    address: vm.address,
    fleetPort: vm.fleetPort,
  }));
}

function filterRemoteVms(
  dataCentre: DataCentreName,
  vms: readonly ListedVm[],
): ListedVm[] {
  return vms.filter(vm => vm.dataCentre !== dataCentre);
}

function canReceiveCalls({record, isUnresponsive}: TrackedMember): boolean {
  return record.state !== 'dead' && !isUnresponsive && isServing(record);
}

function toEndpoint(
  worker: Omit<WorkerEndpoint, 'leaving'>,
  leaving: boolean,
): WorkerEndpoint {
  const {vmId, dataCentre, service, address, callersPort} = worker;
  return {vmId, dataCentre, service, address, callersPort, leaving};
}
