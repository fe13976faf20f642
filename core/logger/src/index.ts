export * from './create_logger.js';
export * from './logger.js';
export * from './parse_line.js';
export * from './silent_logger.js';
