export * from './split_address.js';
export * from './start_listening.js';
