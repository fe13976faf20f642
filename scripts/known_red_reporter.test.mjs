import {expect} from 'chai';
import {spawnSync} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';

const rootDir = path.resolve(import.meta.dirname, '..');

const suiteText = `
  describe('suite', () => {
    it('holds', () => {});
    it('breaks', () => { throw new Error('broken'); });
    it('breaks "too"', () => { throw new Error('broken'); });
  });
`;

describe('known_red_reporter', () => {
  let dir;

  beforeEach(() => {
    dir = mkdtempSync(path.join(tmpdir(), 'known-red-'));
  });

  afterEach(() => rmSync(dir, {recursive: true}));

  function runMocha(knownRed, suite = suiteText) {
    const knownRedFile = path.join(dir, 'known-red.txt');
    const suiteFile = path.join(dir, 'suite.mjs');
    writeFileSync(knownRedFile, knownRed);
    writeFileSync(suiteFile, suite);
    const {status, stdout} = spawnSync(
      process.execPath,
      [
        path.join(rootDir, 'node_modules/mocha/bin/mocha.js'),
        '--no-config',
        '--reporter',
        path.join(import.meta.dirname, 'known_red_reporter.mjs'),
        '--reporter-option',
        `knownRed=${knownRedFile}`,
        suiteFile,
      ],
      {cwd: rootDir, encoding: 'utf8'},
    );
    return {status, stdout};
  }

  it('guards against a red run for tests that are listed', () => {
    const {status, stdout} = runMocha(
      'test "suite breaks": issue 1.\ntest "suite breaks \\"too\\"": issue 1.\n',
    );
    expect(status).to.equal(0);
    expect(stdout).to.include('KNOWN-RED.txt: "suite breaks" fails');
    expect(stdout).to.match(/1 passing[^]*2 failing/);
  });

  it('guards against a green run for a test that is not listed', () => {
    const {status} = runMocha('test "suite breaks": issue 1.\n');
    expect(status).to.equal(1);
  });

  it('guards against entries that match the start of a title only', () => {
    const {status} = runMocha('test "suite": 1.\nbench "suite breaks": 1.\n');
    expect(status).to.equal(2);
  });

  it('guards against a failed hook that passes for its listed test', () => {
    const {status, stdout} = runMocha(
      'test "suite holds": issue 1.\n',
      `describe('suite', () => {
        beforeEach(() => { throw new Error('broken'); });
        it('holds', () => {});
      });`,
    );
    expect(status).to.equal(1);
    expect(stdout).to.include('KNOWN-RED.txt: "suite holds" was not run');
  });

  it('guards against a listed test that passes unnoticed', () => {
    const {status, stdout} = runMocha(
      'test "suite holds": issue 1.\n' +
        'test "suite breaks": issue 1.\ntest "suite breaks \\"too\\"": 1.\n',
    );
    expect(status).to.equal(0);
    expect(stdout).to.include('KNOWN-RED.txt: "suite holds" passes');
  });

  it('guards against an entry whose title cannot be read', () => {
    const {status} = runMocha('test "suite breaks, issue 1.\n');
    expect(status).not.to.equal(0);
  });
});
