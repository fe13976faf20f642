import type {DaemonStatus} from '@carobseam/daemon.admin/messages';
import type {VmState} from './fleet_status.js';

/** Options of `explainLag`. */
export interface ExplainLagOptions {
  state: VmState;
  /** What the daemon itself says, when it was asked. */
  own?: DaemonStatus;
  /** Version that the daemon does not hold. */
  goal: number;
}

const reasonByState: Partial<Record<VmState, string>> = {
  dead: 'dead; restart the daemon or replace the VM',
  leaving: 'leaving, it takes no new work',
  suspect: 'does not respond to probes; check the VM and its network',
};

/** Why a VM is behind, with the remedy. */
export function explainLag(options: ExplainLagOptions): string {
  const {state, own, goal} = options;
  const byState = reasonByState[state];
  if (byState) {
    return byState;
  }
  if (!own) {
    return 'behind by what its peers last heard; ask its admin port for more';
  }
  return explainOwn(own, goal);
}

function explainOwn(own: DaemonStatus, goal: number): string {
  const {versionFloor, contact, lifecycle} = own;
  if (!versionFloor.settled) {
    return 'starting, it still asks peers for the lowest version to apply';
  }
  const floor = versionFloor.softActive
    ? Math.max(versionFloor.hard, versionFloor.soft)
    : versionFloor.hard;
  if (lifecycle === 'starting' && own.version < floor) {
    return `starting, it waits for version ${floor} or later; check that peers or the platform hold it`;
  }
  if (!contact.majority) {
    return 'no contact with a majority of its data centre; check its network';
  }
  return `lacks version ${goal}; if that lasts over 10 s, see carobseam_config_versions_refused_total and its log`;
}
