export * from './event_loop_monitor.js';
export * from './rate_limited_log.js';
export * from './relay.js';
export * from './request_recorder.js';
