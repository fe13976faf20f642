import type {Logger} from './logger.js';

const ignore = (): void => {};

/** A logger that discards every event. */
export const silentLogger: Logger = {
  debug: ignore,
  info: ignore,
  warn: ignore,
  error: ignore,
};
