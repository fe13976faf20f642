import {appendFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';

/** Whether the disruption of the case takes place. */
export const hasTrouble = process.env.TROUBLE !== '0';

const EXIT_CODES = {held: 0, broken: 1, notRun: 2};

/** Writes `record.txt` beside a case and ends the process with its result. */
export class Record {
  #file;
  #lines = [];
  #startMs = performance.now();

  constructor(dir) {
    this.#file = path.join(dir, 'record.txt');
    writeFileSync(this.#file, `trouble: ${hasTrouble}\n`);
  }

  /** @param atMs time on `performance.now`, in ms. */
  add(event, fields, atMs = performance.now()) {
    const atS = ((atMs - this.#startMs) / 1000).toFixed(3);
    const text = Object.entries(fields).map(([name, value]) => {
      return `${name}=${typeof value === 'number' ? Math.round(value) : value}`;
    });
    this.#lines.push([atMs, `${atS} ${event} ${text.join(' ')}`]);
  }

  /** @param result `held`, `broken` or `notRun`. */
  end(result, summary) {
    this.#lines.sort(([a], [b]) => a - b);
    const lines = this.#lines.map(([, line]) => line);
    const text = [...lines, ...summary, `result: ${result}`].join('\n');
    appendFileSync(this.#file, `${text}\n`);
    process.stdout.write([...summary, `result: ${result}`, ''].join('\n'));
    process.exit(EXIT_CODES[result]);
  }
}

/** Runs a case; an error in it means that it could not run. */
export async function runCase(dir, run) {
  const record = new Record(dir);
  try {
    await run(record);
  } catch (error) {
    record.end('notRun', [`error: ${error.stack}`]);
  }
}
