#!/usr/bin/env node
import {runBinary} from '@carobseam/core.errors';
import {Command} from 'commander';
import {publishDirectory} from './publish_directory.js';

const command = new Command('carobseam-stand-in-publish')
  .description(
    'Uploads a rendered directory to the platform stand-in. For tests only: ' +
      'operators publish with their own publisher.',
  )
  .argument('<dir>', 'directory that carobseam render wrote')
  .option('--url <url>', 'URL of the stand-in', 'http://127.0.0.1:7000')
  .option('--key-prefix <prefix>', 'prefix of the keys', 'carobseam')
  .exitOverride(error => process.exit(error.exitCode === 0 ? 0 : 2));

await runBinary(async () => {
  const [dir] = command.parse().args;
  const {url, keyPrefix} = command.opts<{url: string; keyPrefix: string}>();
  const keys = await publishDirectory({dir: dir!, url, keyPrefix});
  process.stdout.write(`published ${keys.length} values to ${url}\n`);
});
