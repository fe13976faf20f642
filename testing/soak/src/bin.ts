import {Command, InvalidArgumentError} from 'commander';
import {runSoak} from './run_soak.js';
import {meshFaults} from './mesh_faults.js';
import {vmFaults} from './soak_faults.js';

const MS_PER_MINUTE = 60_000;
const MAX_VMS = 250; // each has its own loopback address
const DEFAULT_BASE_PORT = 21_400; // below the system's range of outgoing ports

function parsePositive(text: string): number {
  const value = Number(text);
  if (!(value > 0)) {
    throw new InvalidArgumentError('give a number above 0');
  }
  return value;
}

function parseVms(text: string): number {
  const value = parsePositive(text);
  if (value > MAX_VMS) {
    throw new InvalidArgumentError(`give at most ${MAX_VMS}`);
  }
  return value;
}

function parseFaults(text: string): string[] {
  const names = text.split(',');
  const unknown = names.find(name => !(name in vmFaults || name in meshFaults));
  if (unknown !== undefined) {
    throw new InvalidArgumentError(`"${unknown}" is not a fault`);
  }
  return names;
}

const program = new Command('soak')
  .description('Runs relays under random faults and checks the promises.')
  .option('--seed <seed>', 'seed of faults and requests', parsePositive, 1)
  .option('--minutes <minutes>', 'length', parsePositive, 1)
  .option('--vms <count>', 'relay processes', parseVms, 8)
  .option('--only <faults>', 'names of faults, with commas', parseFaults)
  .option('--base-port <port>', 'first port', parsePositive, DEFAULT_BASE_PORT)
  .action(async options => {
    const result = await runSoak({
      seed: options.seed,
      durationMs: options.minutes * MS_PER_MINUTE,
      vms: options.vms,
      basePort: options.basePort,
      only: options.only,
      progress: line => console.error(line),
    });
    console.log(JSON.stringify(result));
    process.exit(result.broken.length > 0 ? 1 : 0);
  });

// An exit, unlike the end by a signal, kills the relays.
for (const signal of ['SIGHUP', 'SIGINT', 'SIGTERM']) {
  process.once(signal, () => process.exit(1));
}
await program.parseAsync();
