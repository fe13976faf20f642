export * from './admin_server.js';
export * from './explain_call.js';
export * from './read_status.js';
export * from './endpoint_explainer.js';
export * from './messages.js';
