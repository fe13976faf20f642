import type {DaemonBlackboard} from '@carobseam/core.blackboard';
import type {PauseDetector} from '@carobseam/core.clock';
import type {Metrics} from '@carobseam/core.metrics';
import type {
  Clock,
  DataCentreName,
  RandomSource,
  VmId,
} from '@carobseam/core.types';
import type {KeyGuard, OwnerChooser} from './key_guard.js';
import {KeyIssuer} from './key_issuer.js';
import {MemberHistory} from './member_history.js';
import {OwnerKeyGuard} from './owner_key_guard.js';
import {RendezvousOwnerChooser} from './rendezvous_owner_chooser.js';
import {SettlingTracker} from './settling_tracker.js';

/** Options of `createAtMostOnce`. */
export interface AtMostOnceOptions {
  vmId: VmId;
  dataCentre: DataCentreName;
  blackboard: DaemonBlackboard;
  clock: Clock;
  random: RandomSource;
  pauseDetector: PauseDetector;
  metrics: Metrics;
}

/** The parts of at-most-once calls in one daemon. */
export interface AtMostOnceComponents {
  readonly keyGuard: KeyGuard;
  readonly ownerChooser: OwnerChooser;
  readonly keyIssuer: KeyIssuer;
  close(): void;
}

/** Wires the parts; create them before the daemon receives member records. */
export function createAtMostOnce(
  options: AtMostOnceOptions,
): AtMostOnceComponents {
  const history = new MemberHistory(options);
  const {dataCentre} = options;
  const owners = new RendezvousOwnerChooser({dataCentre, history});
  const settle = new SettlingTracker(options);
  const guard = new OwnerKeyGuard({
    ...options,
    ownerChooser: owners,
    settlingTracker: settle,
  });
  const issuer = new KeyIssuer({...options, ownerChooser: owners});
  const close = () => {
    history.close();
    settle.close();
  };
  return {keyGuard: guard, ownerChooser: owners, keyIssuer: issuer, close};
}
