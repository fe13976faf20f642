import type {DataCentreStatus, FleetStatus, VmStatus} from './fleet_status.js';
import {formatTable} from './format_table.js';

/** Formats the status as lines for operators. */
export function formatStatus(status: FleetStatus): string[] {
  const {version, activePreset = '-', manifestDigest = '-'} = status;
  return [
    `version ${version}, preset ${activePreset}, digest ${manifestDigest}`,
    ...status.dataCentres.flatMap(formatDataCentre),
    ...status.otherDataCentres.map(
      ({name, listedVms}) =>
        `data centre ${name}: not asked, ${listedVms} VMs listed; pass the admin address of one of its daemons`,
    ),
    ...status.conflicts.map(
      vmId =>
        `conflict: ${vmId} holds version ${version} with another digest; render and publish a higher version`,
    ),
    ...status.unanswered.map(
      ({address, error}) => `no response from ${address}: ${error}`,
    ),
  ];
}

function formatDataCentre(dataCentre: DataCentreStatus): string[] {
  const {name, readers, membersByState, vms} = dataCentre;
  const states = Object.entries(membersByState)
    .sort()
    .map(([state, count]) => `${count} ${state}`);
  const titles = ['VM', 'SERVICE', 'STATE', 'VERSION', 'SOURCE', 'REMARK'];
  return [
    '',
    `data centre ${name}: ${states.join(', ')}; readers: ${readers.join(', ') || 'none'}`,
    ...formatTable([titles, ...vms.map(vmRow)]),
  ];
}

function vmRow(vm: VmStatus): string[] {
  const source = vm.asked ? 'asked' : 'peers';
  const {vmId, service, state, version} = vm;
  return [vmId, service, state, String(version), source, vm.lag ?? ''];
}
