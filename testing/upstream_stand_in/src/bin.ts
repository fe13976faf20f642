#!/usr/bin/env node
import {CarobseamError, runBinary} from '@carobseam/core.errors';
import {createLogger} from '@carobseam/core.logger';
import {Command, Option} from 'commander';
import {UpstreamStandIn} from './upstream_stand_in.js';

type Arguments = Record<
  | 'name'
  | 'address'
  | 'port'
  | 'slots'
  | 'connections'
  | 'newConnectionMs'
  | 'workMs'
  | 'overCapacity'
  | 'ledgerPort',
  string
>;

const command = new Command('carobseam-upstream-stand-in')
  .description('Upstream worker for tests and the demo, not for production.')
  .option('--name <text>', 'name in responses', 'worker')
  .option('--address <ip>', 'IP address to listen on', '127.0.0.1')
  .option('--port <number>', 'port to listen on', '7900')
  .option('--slots <number>', 'requests that run at once', '20')
  .option('--connections <number>', 'connections accepted at once', '130')
  .option('--new-connection-ms <ms>', 'cost of a new connection', '1')
  .option('--work-ms <ms>', 'time that a request runs', '2')
  .addOption(
    new Option('--over-capacity <mode>', 'what happens over the slots')
      .choices(['shed', 'queue'])
      .default('shed'),
  )
  .option('--ledger-port <port>', 'reports executions by datagram', '0')
  .exitOverride(error => process.exit(error.exitCode === 0 ? 0 : 2));

await runBinary(async () => {
  const args = command.parse().opts<Arguments>();
  const standIn = new UpstreamStandIn({
    name: args.name,
    address: args.address,
    port: parseNumber('--port', args.port),
    slots: parseNumber('--slots', args.slots),
    connections: parseNumber('--connections', args.connections),
    newConnectionMs: parseNumber('--new-connection-ms', args.newConnectionMs),
    workMs: parseNumber('--work-ms', args.workMs),
    overCapacity: args.overCapacity === 'queue' ? 'queue' : 'shed',
    ledgerPort: parseNumber('--ledger-port', args.ledgerPort),
  });
  await standIn.start();
  const logger = createLogger({level: 'info'});
  logger.info('stand_in_started', {name: args.name, port: args.port});
  const stop = () => void standIn.close();
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
});

function parseNumber(name: string, text: string): number {
  const value = Number(text);
  if (!Number.isFinite(value) || value < 0) {
    throw new CarobseamError({
      code: 'ARGUMENT_INVALID',
      message: `${name} is ${text}`,
      hint: 'use a number of 0 or more',
    });
  }
  return value;
}
