export * from './end_after_upload.js';
export * from './latest_requests.js';
export * from './probe_connection.js';
export * from './split_address.js';
export * from './start_listening.js';
