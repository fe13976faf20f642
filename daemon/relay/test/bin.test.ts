import {expect} from 'chai';
import {spawnSync} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

const BIN = fileURLToPath(new URL('../src/bin.js', import.meta.url));

function run(settingsFile: string) {
  const result = spawnSync(process.execPath, [BIN], {
    env: {...process.env, CAROBSEAM_NODE_FILE: settingsFile},
    encoding: 'utf8',
    timeout: 8000,
  });
  return {status: result.status, stderr: result.stderr.trim()};
}

describe('carobseam-relay', () => {
  let dir: string;

  beforeEach(() => {
    dir = mkdtempSync(path.join(tmpdir(), 'carobseam-relay-'));
  });

  afterEach(() => rmSync(dir, {recursive: true}));

  it('exits with code 2 and prints one line when the settings file is missing', () => {
    const {status, stderr} = run(path.join(dir, 'missing.yaml'));
    expect(status).to.equal(2);
    expect(stderr.split('\n')).to.have.length(1);
    expect(stderr).to.match(/cannot read settings file .*CAROBSEAM_NODE_FILE/);
  });

  it('reports the field, the value and the remedy of an invalid setting', () => {
    const file = path.join(dir, 'relay.yaml');
    writeFileSync(file, JSON.stringify({vm: 'vm-1', vmAddress: 7}));
    const {status, stderr} = run(file);
    expect(status).to.equal(2);
    expect(stderr).to.match(/vmAddress is 7; give a text/);
  });
});
