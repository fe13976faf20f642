#!/usr/bin/env node
import {CarobseamError, runBinary} from '@carobseam/core.errors';
import {SystemClock} from '@carobseam/core.clock';
import {createLogger} from '@carobseam/core.logger';
import {Command} from 'commander';
import {InMemoryPlatform} from './in_memory_platform.js';
import {PlatformStandInServer} from './platform_stand_in_server.js';

interface Arguments {
  address: string;
  port: string;
  limit: string;
}

const command = new Command('carobseam-platform-stand-in')
  .description('Platform stand-in for tests and the demo, not for production.')
  .option('--address <ip>', 'IP address to listen on', '127.0.0.1')
  .option('--port <number>', 'port to listen on', '7000')
  .option('--limit <calls>', 'calls per second that are admitted', '2000')
  .showHelpAfterError()
  .exitOverride(error => process.exit(error.exitCode === 0 ? 0 : 2));

await runBinary(async () => {
  const {address, port, limit} = command.parse().opts<Arguments>();
  const logger = createLogger({level: 'info'});
  const state = new InMemoryPlatform({
    clock: new SystemClock(),
    limitCallsPerSecond: parseNumber('--limit', limit),
  });
  const server = new PlatformStandInServer({
    state,
    address,
    port: parseNumber('--port', port),
  });
  await server.start();
  logger.info('stand_in_started', {address, port, limit});
  const stop = () => void server.close();
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
});

function parseNumber(name: string, text: string): number {
  const value = Number(text);
  if (!Number.isInteger(value) || value < 1) {
    throw new CarobseamError({
      code: 'ARGUMENT_INVALID',
      message: `${name} is ${text}`,
      hint: 'use a positive integer',
    });
  }
  return value;
}
