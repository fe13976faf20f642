export * from './connection_pool.js';
export * from './exchange_types.js';
export * from './response_buffers.js';
export * from './http_connection.js';
export * from './response_reader.js';
