export * from './call_explanation_schema.js';
export * from './daemon_status_schema.js';
