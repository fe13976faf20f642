#!/usr/bin/env node
import {runCli} from './run_cli.js';

process.exitCode = await runCli(process.argv.slice(2), {
  writeResult: line => process.stdout.write(`${line}\n`),
  writeProgress: line => process.stderr.write(`${line}\n`),
});
