import {expect} from 'chai';
import {ManualClock} from '@carobseam/core.clock';
import {silentLogger} from '@carobseam/core.logger';
import {FleetAuthenticator} from '@carobseam/fleet.link';
import {reloadFleetKeys} from '../src/reload_fleet_keys.js';

const oldKey = {id: 'k1', secret: 'a shared test secret'};
const newKey = {id: 'k2', secret: 'another shared secret'};

describe('reloadFleetKeys', () => {
  it('guards against losing the keys when the settings cannot be read', () => {
    const clock = new ManualClock();
    const authenticator = new FleetAuthenticator({keys: [oldKey], clock});
    const errors: string[] = [];
    const logger = {
      ...silentLogger,
      error: (event: string) => errors.push(event),
    };
    const load = () => {
      throw new Error('settings are unreadable');
    };
    reloadFleetKeys({holders: [authenticator], logger, load});
    expect(authenticator.signingKeyId).to.equal('k1');
    expect(errors).to.deep.equal(['fleet_keys_kept']);
    const fleetKeys = [newKey, oldKey];
    reloadFleetKeys({
      holders: [authenticator],
      logger,
      load: () => ({fleetKeys}),
    });
    expect(authenticator.signingKeyId).to.equal('k2');
  });
});
