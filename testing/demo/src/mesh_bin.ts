#!/usr/bin/env node
import {runBinary} from '@carobseam/core.errors';
import {
  loadDeployment,
  LocalFleet,
  planFleet,
} from '@carobseam/testing.fixtures';
import {Command} from 'commander';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';

interface Arguments {
  deployment: string;
  basePort: string;
}

const command = new Command('mesh')
  .description(
    'Runs the stand-ins and daemons of a deployment of examples/ on loopback ' +
      'until it is interrupted, to try the operators’ commands on. It ' +
      'publishes nothing.',
  )
  .option('--deployment <name>', 'kalchgruber or teranga', 'kalchgruber')
  .option('--base-port <port>', 'first port that is used', '17000')
  .exitOverride(error => process.exit(error.exitCode === 0 ? 0 : 2));

await runBinary(async () => {
  const args = command.parse().opts<Arguments>();
  const fleet = createFleet(args);
  const stop = Promise.race([
    once(process, 'SIGINT'),
    once(process, 'SIGTERM'),
  ]);
  try {
    await fleet.startPlatform();
    fleet.vms.forEach(vm => fleet.startUpstream(vm));
    fleet.vms.forEach(vm => fleet.startDaemon(vm));
    process.stdout.write(`platform stand-in: ${fleet.platformUrl}\n`);
    for (const {vmId, address, adminPort, callersPort} of fleet.vms) {
      process.stdout.write(
        `${vmId}: admin ${address}:${adminPort}, callers ${address}:${callersPort}\n`,
      );
    }
    await stop;
  } finally {
    await fleet.close();
  }
});

function createFleet({deployment: name, basePort}: Arguments): LocalFleet {
  const file = `../../../../examples/${name}/deployment.yaml`;
  const deployment = loadDeployment(
    fileURLToPath(new URL(file, import.meta.url)),
  );
  const platformPort = Number(basePort);
  return new LocalFleet({
    vms: planFleet({deployment, basePort: platformPort + 10}),
    region: deployment.region,
    disseminationProfile: deployment.disseminationProfile,
    platformPort,
    platformCallsPerSecond: 2000,
    upstream: {slots: 20, connections: 130, workMs: 2},
  });
}
