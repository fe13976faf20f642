import type {DaemonBlackboard} from '@carobseam/core.blackboard';
import type {DataCentreName, VmId} from '@carobseam/core.types';
import {chooseReaders} from '@carobseam/fleet.readers';
import type {DaemonStatus} from './daemon_status_schema.js';

/** Options of `readStatus`. */
export interface ReadStatusOptions {
  vmId: VmId;
  dataCentre: DataCentreName;
  readersPerDataCentre: number;
  blackboard: DaemonBlackboard;
}

/** Creates the response of `/status` from the blackboard. */
export function readStatus(options: ReadStatusOptions): DaemonStatus {
  const {vmId, dataCentre, readersPerDataCentre, blackboard} = options;
  const snapshot = blackboard.read('snapshot');
  const members = [...blackboard.read('members').values()];
  const readers = chooseReaders({
    dataCentre,
    members,
    readerCount: readersPerDataCentre,
  });
  return {
    vmId,
    dataCentre,
    lifecycle: blackboard.read('lifecycle'),
    version: snapshot?.version ?? 0,
    manifestDigest: snapshot?.manifestDigest,
    activePreset: snapshot?.activePreset,
    reader: blackboard.read('reader'),
    readers,
    versionFloor: blackboard.read('versionFloor'),
    contact: blackboard.read('contact'),
    load: blackboard.read('localLoad'),
    crashMarks: blackboard.read('crashMarks').length,
    members,
    otherDataCentres: readOtherDataCentres(dataCentre, blackboard),
  };
}

function readOtherDataCentres(
  ownDataCentre: DataCentreName,
  blackboard: DaemonBlackboard,
): DaemonStatus['otherDataCentres'] {
  const {vms} = blackboard.read('vmList');
  const peers = blackboard.read('remotePeers');
  // Until a reader has broadcast the VM list, the known workers are counted.
  const endpoints = [...blackboard.read('endpoints').values()].flat();
  const listedVms = vms.length > 0 ? vms : endpoints;
  const names = new Set(
    [...listedVms, ...peers].map(({dataCentre}) => dataCentre),
  );
  names.delete(ownDataCentre);
  const countIn = (
    items: ReadonlyArray<{dataCentre: string}>,
    name: DataCentreName,
  ) => items.filter(item => item.dataCentre === name).length;
  return [...names].sort().map(dataCentre => ({
    dataCentre,
    listedVms: countIn(listedVms, dataCentre),
    knownPeers: countIn(peers, dataCentre),
  }));
}
