#!/usr/bin/env node
import {runBinary} from '@carobseam/core.errors';
import {loadSettings} from '@carobseam/core.settings';
import {Command} from 'commander';
import {Daemon} from './daemon.js';

const command = new Command('carobseam-daemon')
  .description('Runs next to an upstream worker and proxies its calls.')
  .requiredOption('--settings <file>', 'YAML settings file')
  .exitOverride(error => process.exit(error.exitCode === 0 ? 0 : 2));

await runBinary(async () => {
  const {settings} = command.parse().opts<{settings: string}>();
  const daemon = new Daemon(loadSettings(settings));
  const stop = () => void daemon.close();
  // The default action for a further signal would end the drain at once.
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  process.on('SIGHUP', () => daemon.reloadKeys(() => loadSettings(settings)));
  try {
    await daemon.start();
  } catch (error) {
    await daemon.close();
    throw error;
  }
});
