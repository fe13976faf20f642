#!/usr/bin/env node
import {runBinary} from '@carobseam/core.errors';
import {Command} from 'commander';
import {runDemo} from './demo.js';

interface Arguments {
  deployment: string;
  perDataCentre: boolean;
  basePort: string;
}

const command = new Command('demo')
  .description('Runs a deployment of examples/ on loopback for a minute.')
  .option('--deployment <name>', 'kalchgruber or teranga', 'kalchgruber')
  .option('--per-data-centre', 'worker counts hold for each data centre', false)
  .option('--base-port <port>', 'first port that is used', '17000')
  .exitOverride(error => process.exit(error.exitCode === 0 ? 0 : 2));

await runBinary(async () => {
  const args = command.parse().opts<Arguments>();
  const result = await runDemo({
    deployment: args.deployment,
    perDataCentre: args.perDataCentre,
    basePort: Number(args.basePort),
    report: line => process.stdout.write(`${line}\n`),
  });
  process.stdout.write(`${JSON.stringify(result)}\n`);
  const {converged, lost, doubled} = result;
  process.exitCode = converged && lost === 0 && doubled === 0 ? 0 : 1;
});
