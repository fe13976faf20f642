export * from './call_headers.js';
export * from './local_load.js';
export * from './refusal.js';
