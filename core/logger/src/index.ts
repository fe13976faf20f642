export * from './create_logger.js';
export * from './logger.js';
export * from './parse_logfmt_line.js';
export * from './silent_logger.js';
