export * from './call_dependencies.js';
export * from './call_server.js';
