import {execFileSync, spawn, type ChildProcess} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import type {BenchOptions, BenchResult} from './bench_options.js';
import {readProcessUsage} from './process_usage.js';

const ROOT_DIR = fileURLToPath(new URL('../../../../', import.meta.url));
const RUNS = 5;
const POLL_MS = 2;
const SETTLE_MS = 500; // the first collections of garbage are over
const MAX_START_MS = 10_000;

interface Start {
  wallMs: number;
  cpuMs: number;
  residentBytes: number;
}

/** Start of the bundled relay beside bare Node.js, uncharged. */
export async function runStartBench(
  options: BenchOptions,
): Promise<BenchResult> {
  execFileSync(process.execPath, ['scripts/bundle.mjs'], {cwd: ROOT_DIR});
  const dir = mkdtempSync(path.join(tmpdir(), 'carobseam-start-'));
  try {
    const settingsFile = path.join(dir, 'relay.yaml');
    writeFileSync(settingsFile, settingsText(options.basePort));
    const bare = `require('node:net').createServer().listen(${options.basePort},'127.0.0.1')`;
    const rows = [];
    for (const [name, args] of [
      ['bare node', ['-e', bare]],
      ['relay', ['target/carobseam-relay.mjs']],
    ] as Array<[string, string[]]>) {
      const starts: Start[] = [];
      for (let run = 0; run < RUNS; run++) {
        starts.push(await measure(args, settingsFile, options.basePort));
      }
      options.report(`${name}: ${JSON.stringify(starts)}`);
      rows.push({program: name, ...medians(starts)});
    }
    return {runs: RUNS, starts: rows};
  } finally {
    rmSync(dir, {recursive: true});
  }
}

async function measure(
  args: readonly string[],
  settingsFile: string,
  port: number,
): Promise<Start> {
  const startMs = performance.now();
  const child = spawn(process.execPath, args, {
    cwd: ROOT_DIR,
    stdio: 'ignore',
    env: {...process.env, CAROBSEAM_NODE_FILE: settingsFile},
  });
  try {
    await listening(port, startMs);
    const wallMs = performance.now() - startMs;
    const {cpuMs} = readProcessUsage(child.pid!);
    await sleep(SETTLE_MS);
    const {residentBytes} = readProcessUsage(child.pid!);
    return {wallMs, cpuMs, residentBytes};
  } finally {
    await end(child);
  }
}

async function listening(port: number, startMs: number): Promise<void> {
  while (!(await canConnect(port))) {
    if (performance.now() - startMs > MAX_START_MS) {
      throw new Error(`nobody listens on ${port} after ${MAX_START_MS} ms`);
    }
    await sleep(POLL_MS);
  }
}

function canConnect(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const socket = net.connect({host: '127.0.0.1', port});
    socket.on('connect', () => {
      socket.destroy();
      resolve(true);
    });
    socket.on('error', () => resolve(false));
  });
}

function end(child: ChildProcess): Promise<void> {
  return new Promise(resolve => {
    child.once('exit', () => resolve());
    child.kill('SIGKILL');
  });
}

function sleep(durationMs: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, durationMs);
  });
}

function medians(starts: readonly Start[]): Record<string, number> {
  const median = (pick: (start: Start) => number) =>
    starts.map(pick).sort((a, b) => a - b)[Math.floor(starts.length / 2)]!;
  return {
    wallMs: Math.round(median(start => start.wallMs)),
    cpuMs: Math.round(median(start => start.cpuMs)),
    residentMb: Math.round(median(start => start.residentBytes) / 1e6),
  };
}

// The outbound address is opened last, so it tells that the relay serves.
function settingsText(basePort: number): string {
  const address = (offset: number) => `127.0.0.1:${basePort + offset}`;
  return JSON.stringify({
    vm: 'vm',
    vmAddress: '127.0.0.1',
    dataCentre: 'wien',
    service: 'desk',
    outboundAddress: address(0),
    inboundAddress: address(1),
    readyAddress: address(2),
    controlAddress: address(3),
    workerAddress: address(4),
    storeAddress: address(5),
    metricsPort: basePort + 6,
    linkMbps: 100,
    seedAddresses: [],
    graceS: 6,
    drainMs: 2000,
    retryBudgetRatio: 0.2,
    retryBudgetSlack: 64,
  });
}
