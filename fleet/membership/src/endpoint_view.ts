import type {RemotePeer} from '@carobseam/core.blackboard';
import type {DataCentreName, ServiceName} from '@carobseam/core.types';
import type {WorkerEndpoint} from '@carobseam/fleet.types';
import type {ListedVm} from '@carobseam/config.published_reader';
import {
  isServing,
  type MemberTable,
  type TrackedMember,
} from './member_table.js';

/** Workers by service: the own data centre from members, others as listed. */
export function groupEndpointsByService(
  table: MemberTable,
  vms: readonly ListedVm[],
): Map<ServiceName, WorkerEndpoint[]> {
  const peers = [...table.peers].filter(mayGetCalls);
  const own = [table.self, ...peers.map(({record}) => record)];
  const endpoints = [
    ...own.map(record => toEndpoint(record, record.state === 'leaving')),
    ...othersOf(table.self.dataCentre, vms).map(vm =>
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

/** Daemons of other data centres, as listed. */
export function listRemotePeers(
  dataCentre: DataCentreName,
  vms: readonly ListedVm[],
): RemotePeer[] {
  return othersOf(dataCentre, vms).map(vm => ({
    vmId: vm.vmId,
    dataCentre: vm.dataCentre,
    address: vm.address,
    fleetPort: vm.fleetPort,
  }));
}

function othersOf(
  dataCentre: DataCentreName,
  vms: readonly ListedVm[],
): ListedVm[] {
  return vms.filter(vm => vm.dataCentre !== dataCentre);
}

function mayGetCalls({
  record,
  isUnresponsive: unresponsive,
}: TrackedMember): boolean {
  return record.state !== 'dead' && !unresponsive && isServing(record);
}

function toEndpoint(
  worker: Omit<WorkerEndpoint, 'leaving'>,
  leaving: boolean,
): WorkerEndpoint {
  const {vmId, dataCentre, service, address, callersPort} = worker;
  return {vmId, dataCentre, service, address, callersPort, leaving};
}
