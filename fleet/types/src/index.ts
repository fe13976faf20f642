export * from './crash_mark.js';
export * from './datagram_message.js';
export * from './fleet_endpoint.js';
export * from './member_record.js';
export * from './notice.js';
export * from './rendezvous.js';
export * from './worker_endpoint.js';
