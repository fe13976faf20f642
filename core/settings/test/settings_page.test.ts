import {expect} from 'chai';
import {daemonSettingsSchema} from '@carobseam/core.settings';
import {listSchemaKeys, readDocsTables} from '@carobseam/testing.fixtures';

describe('docs/OPERATIONS.md, settings reference', () => {
  it('guards against settings that the page omits or lists with another default', () => {
    const rows = readDocsTables('OPERATIONS.md').get('Settings reference');
    const documented = [...(rows ?? new Map<string, string[]>()).values()]
      .slice(1)
      .map(cells => `${cells[0]}: ${cells[2]}`);
    const expected = listSchemaKeys(daemonSettingsSchema).map(
      key => `${key.path}: ${key.default}`,
    );
    expect(documented).to.have.members(expected);
  });
});
