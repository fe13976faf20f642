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

export interface AtMostOnceOptions {
  vmId: VmId;
  dataCentre: DataCentreName;
  blackboard: DaemonBlackboard;
  clock: Clock;
  random: RandomSource;
  pauseDetector: PauseDetector;
  metrics: Metrics;
}

/** Objects that ensure at-most-once execution of keyed calls in one daemon. */
export interface AtMostOnceComponents {
  readonly keyGuard: KeyGuard;
  readonly ownerChooser: OwnerChooser;
  readonly keyIssuer: KeyIssuer;
  close(): void;
}

/**
 * Creates and connects the components. Call it before the daemon receives
 * member records, because the member history must see all of them.
 */
export function createAtMostOnce(
  options: AtMostOnceOptions,
): AtMostOnceComponents {
  const memberHistory = new MemberHistory(options);
  const {dataCentre} = options;
  const ownerChooser = new RendezvousOwnerChooser({dataCentre, memberHistory});
  const settlingTracker = new SettlingTracker(options);
  const keyGuard = new OwnerKeyGuard({
    ...options,
    ownerChooser,
    settlingTracker,
  });
  const keyIssuer = new KeyIssuer({...options, ownerChooser});
  const close = () => {
    memberHistory.close();
    settlingTracker.close();
  };
  return {keyGuard, ownerChooser, keyIssuer, close};
}
