import {SystemClock, SystemRandom} from '@carobseam/core.clock';
import {CarobseamError} from '@carobseam/core.errors';
import {Metrics} from '@carobseam/core.metrics';
import {
  loadRelaySettings,
  StoreClient,
  StoreSource,
} from '@carobseam/platform.adapter';
import {EventLoopMonitor} from './event_loop_monitor.js';
import {RateLimitedLog} from './rate_limited_log.js';
import {hasHighBandwidthLink} from './has_high_bandwidth_link.js';
import {Relay} from './relay.js';

const EXIT_BAD_SETTINGS = 2;

async function main(): Promise<void> {
  const settingsFile = process.env['CAROBSEAM_NODE_FILE'] ?? 'relay.yaml';
  const settings = loadRelaySettings(settingsFile);
  const clock = new SystemClock();
  const metrics = new Metrics();
  const log = new RateLimitedLog({
    clock,
    base: {vm: settings.vm},
    onDropped: lines =>
      metrics.increment('carobseam_relay_log_lines_dropped_total', {}, lines),
  });
  const relay = new Relay({
    settings,
    source: new StoreSource({
      client: new StoreClient(settings.storeAddress),
      logger: log.logger,
      decodesSupersededVersions: hasHighBandwidthLink(settings),
    }),
    clock,
    random: new SystemRandom(),
    log,
    metrics,
  });
  const monitor = new EventLoopMonitor({clock, logger: log.logger, metrics});
  // An error in one request must not end the process and with it all others.
  process.on('uncaughtException', error =>
    log.logger.error('unexpected_error', {cause: error.stack ?? error.message}),
  );
  process.on('SIGHUP', () => reload(settingsFile, log));
  process.on('SIGTERM', () => void stop(relay, log, monitor));
  await relay.start();
  monitor.start();
  log.logger.info('started', {
    service: settings.service,
    dataCentre: settings.dataCentre,
    startupMs: Math.round(performance.now()),
  });
}

/**
 * Checks the settings file on SIGHUP and logs the result. The relay keeps the
 * settings that it read at its start.
 */
function reload(settingsFile: string, log: RateLimitedLog): void {
  try {
    const settings = loadRelaySettings(settingsFile);
    log.logger.info('settings_reloaded', {vm: settings.vm});
  } catch (error) {
    log.logger.error('settings_not_reloaded', {cause: String(error)});
  }
}

async function stop(
  relay: Relay,
  log: RateLimitedLog,
  monitor: EventLoopMonitor,
): Promise<void> {
  const {earliestSignalMs} = monitor;
  log.logger.info('stopping', {
    cause: 'SIGTERM',
    mostLateMs: Math.round(performance.now() - earliestSignalMs),
  });
  await relay.drain(earliestSignalMs);
  relay.close();
  monitor.close();
  log.logger.info('stopped', {});
  log.close();
  setImmediate(() => process.exit(0));
}

main().catch(error => {
  const isCarobseamError = error instanceof CarobseamError;
  const hint = isCarobseamError ? `; ${error.hint}` : '';
  console.error(`carobseam-relay: ${String(error.message)}${hint}`);
  process.exitCode = isCarobseamError ? EXIT_BAD_SETTINGS : 1;
});
