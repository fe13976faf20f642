export * from './config_snapshot.js';
export * from './route_index.js';
