import {describeError} from '@carobseam/core.errors';
import type {Logger} from '@carobseam/core.logger';
import type {DaemonSettings} from '@carobseam/core.settings';

type FleetKeys = DaemonSettings['fleetKeys'];

/** An object that signs and verifies messages with the fleet keys. */
export interface KeyHolder {
  setKeys(keys: FleetKeys): void;
}

/** Options of `reloadFleetKeys`. */
export interface ReloadFleetKeysOptions {
  holders: readonly KeyHolder[];
  logger: Logger;
  /** Reads and validates the settings. */
  load: () => Pick<DaemonSettings, 'fleetKeys'>;
}

/** Replaces the fleet keys, or keeps the old ones if the settings are invalid. */
export function reloadFleetKeys(options: ReloadFleetKeysOptions): void {
  const {holders, logger, load} = options;
  try {
    const {fleetKeys} = load();
    holders.forEach(holder => holder.setKeys(fleetKeys));
    const keyIds = fleetKeys.map(key => key.id).join(',');
    logger.info('fleet_keys_replaced', {keyIds});
  } catch (error) {
    logger.error('fleet_keys_kept', {
      error: describeError(error),
      hint: 'correct the settings file and send SIGHUP again',
    });
  }
}
