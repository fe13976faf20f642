export * from './crash_mark_client.js';
export * from './crash_mark_exchange.js';
export * from './crash_mark_server.js';
export * from './mark_notice.js';
