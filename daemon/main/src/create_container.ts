import 'reflect-metadata';
import {createDaemonBlackboard} from '@carobseam/core.blackboard';
import {SeededRandom, SystemClock} from '@carobseam/core.clock';
import {createLogger} from '@carobseam/core.logger';
import {Metrics} from '@carobseam/core.metrics';
import type {DaemonSettings} from '@carobseam/core.settings';
import {HttpPlatformReader} from '@carobseam/config.published_reader';
import {Container} from 'inversify';
import {randomInt} from 'node:crypto';
import {bindCalls} from './bind_calls.js';
import {bindFleet} from './bind_fleet.js';
import {bindMembership} from './bind_membership.js';
import {bindReaders} from './bind_readers.js';
import {bindSingleton, settingsOf} from './container_helpers.js';
import {tokens} from './tokens.js';

/** Options of `createContainer`. */
export interface CreateContainerOptions {
  settings: DaemonSettings;
  /** Starts a graceful shutdown. */
  requestStop: () => void;
}

const MAX_SEED = 2 ** 31;

/** Creates the dependency injection container of a daemon. */
export function createContainer(options: CreateContainerOptions): Container {
  const container = new Container({defaultScope: 'Singleton'});
  bindCore(container, options);
  bindPlatform(container);
  bindFleet(container);
  bindMembership(container);
  bindCalls(container);
  return container;
}

function bindCore(container: Container, options: CreateContainerOptions): void {
  const {settings} = options;
  container.bind(tokens.settings).toConstantValue(settings);
  container.bind(tokens.requestStop).toConstantValue(options.requestStop);
  container.bind(tokens.clock).toConstantValue(new SystemClock());
  container
    .bind(tokens.random)
    .toConstantValue(new SeededRandom(randomInt(MAX_SEED)));
  container.bind(tokens.metrics).toConstantValue(new Metrics());
  container.bind(tokens.blackboard).toConstantValue(createDaemonBlackboard());
  container
    .bind(tokens.logger)
    .toConstantValue(
      createLogger({level: settings.log.level, base: {vm: settings.vmId}}),
    );
}

function bindPlatform(container: Container): void {
  bindSingleton(container, tokens.platformReader, context => {
    const {platform} = settingsOf(context);
    return new HttpPlatformReader({
      url: platform.url,
      timeoutMs: platform.timeoutMs,
      metrics: context.get<Metrics>(tokens.metrics),
    });
  });
  bindReaders(container);
}
