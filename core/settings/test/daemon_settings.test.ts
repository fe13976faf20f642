import {expect} from 'chai';
import {daemonSettingsSchema, parseYaml} from '@carobseam/core.settings';

const VALID = `
vmId: ost-wien-1
dataCentre: ost-wien
region: ost
service: hintdesk
callers: {address: 127.0.0.1, port: 7100}
fleet: {address: 127.0.0.1, port: 7101}
admin: {address: 127.0.0.1, port: 7102}
upstream: {address: 127.0.0.1, port: 7103}
platform: {url: 'http://127.0.0.1:7000'}
fleetKeys: [{id: k1, secret: 0123456789abcdef}]
`;

function parse(text: string) {
  return parseYaml({
    text,
    source: 'settings.yaml',
    schema: daemonSettingsSchema,
    code: 'SETTINGS_INVALID',
  });
}

describe('daemonSettingsSchema', () => {
  it('adds default values', () => {
    expect(parse(VALID).dissemination.profile).to.equal('fast');
  });

  it('guards against an unknown key', () => {
    expect(() => parse(`${VALID}\ncolour: red\n`)).to.throw(
      'unknown key colour',
    );
  });

  it('reports the key, the value and the remedy', () => {
    const text = VALID.replace('port: 7100', 'port: 99999');
    expect(() => parse(text)).to.throw(/callers\.port \(99999\): .*65535/);
  });

  it('guards against a host name in place of an IP address', () => {
    const text = VALID.replace(
      'address: 127.0.0.1, port: 7101',
      'address: vm1, port: 7101',
    );
    expect(() => parse(text)).to.throw('use an IP address');
  });
});
