import type {DaemonSettings} from '@carobseam/core.settings';
import type {Clock} from '@carobseam/core.types';
import {NOT_SERVING_WALL_MS, type MemberRecord} from '@carobseam/fleet.types';

/** Creates the member record that a daemon announces after its start. */
export function createSelfRecord(
  settings: DaemonSettings,
  clock: Clock,
): MemberRecord {
  return {
    vmId: settings.vmId,
    dataCentre: settings.dataCentre,
    service: settings.service,
    address: settings.fleet.address,
    fleetPort: settings.fleet.port,
    callersPort: settings.callers.port,
    // A restarted daemon does not know its previous incarnation. The start time
    // gives each start a higher one.
    incarnation: Math.round(clock.wallMs()),
    state: 'alive',
    servingSinceWallMs: NOT_SERVING_WALL_MS,
    configVersion: 0,
  };
}
