import type {DaemonBlackboard} from '@carobseam/core.blackboard';
import type {Logger} from '@carobseam/core.logger';
import type {Metrics} from '@carobseam/core.metrics';
import type {DaemonSettings} from '@carobseam/core.settings';
import type {Clock, RandomSource} from '@carobseam/core.types';
import type {Container, ResolutionContext} from 'inversify';
import {tokens} from './tokens.js';

/** Binds an object that is created once, on its first use. */
export function bindSingleton<T>(
  container: Container,
  token: symbol,
  create: (context: ResolutionContext) => T,
): void {
  container.bind<T>(token).toDynamicValue(create).inSingletonScope();
}

/** Returns the settings of the daemon. */
export function settingsOf(context: ResolutionContext): DaemonSettings {
  return context.get<DaemonSettings>(tokens.settings);
}

/** Returns the objects that most other objects depend on. */
export function commonDependencies(context: ResolutionContext): {
  blackboard: DaemonBlackboard;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  random: RandomSource;
} {
  return {
    blackboard: context.get<DaemonBlackboard>(tokens.blackboard),
    clock: context.get<Clock>(tokens.clock),
    logger: context.get<Logger>(tokens.logger),
    metrics: context.get<Metrics>(tokens.metrics),
    random: context.get<RandomSource>(tokens.random),
  };
}
