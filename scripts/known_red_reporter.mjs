/**
 * Mocha reporter that passes over the failures of tests that KNOWN-RED.txt
 * lists, and prints them. An entry of a test begins with
 * `test "<full title>"`, the title as a JSON string.
 */
import Mocha from 'mocha';
import fs from 'node:fs';
import path from 'node:path';

const DEFAULT_FILE = path.resolve(import.meta.dirname, '../KNOWN-RED.txt');
const ENTRY = /^test ("(?:[^"\\]|\\.)*")/;
const {EVENT_TEST_FAIL, EVENT_TEST_PASS} = Mocha.Runner.constants;

function readTitles(file) {
  return fs
    .readFileSync(file, 'utf8')
    .split('\n')
    .filter(line => line.startsWith('test "'))
    .map(line => {
      const title = ENTRY.exec(line)?.[1];
      if (title === undefined) {
        throw new Error(`${file}: the title of "${line}" has no end`);
      }
      return JSON.parse(title);
    });
}

export default class KnownRedReporter extends Mocha.reporters.Spec {
  #knownFailures = 0;
  /** Outcome of each listed test by its title. */
  #outcomes;

  constructor(runner, options) {
    super(runner, options);
    const file = options.reporterOptions?.knownRed ?? DEFAULT_FILE;
    this.#outcomes = new Map(
      readTitles(file).map(title => [title, 'was not run']),
    );
    runner.on(EVENT_TEST_PASS, test => this.#note(test, 'passes'));
    runner.on(EVENT_TEST_FAIL, test => this.#note(test, 'fails'));
  }

  epilogue() {
    for (const [title, outcome] of this.#outcomes) {
      console.log(`KNOWN-RED.txt: ${JSON.stringify(title)} ${outcome}`);
    }
    super.epilogue();
  }

  /** Called by mocha at the end, with the number for its exit status. */
  done(failures, finish) {
    finish(failures - this.#knownFailures);
  }

  // A failed hook is reported here too; its title is not that of a test.
  #note(test, outcome) {
    if (!this.#outcomes.has(test.fullTitle())) {
      return;
    }
    this.#knownFailures += outcome === 'fails' ? 1 : 0;
    if (this.#outcomes.get(test.fullTitle()) !== 'fails') {
      this.#outcomes.set(test.fullTitle(), outcome);
    }
  }
}
