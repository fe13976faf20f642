export * from './call_metrics.js';
export * from './config_metrics.js';
export * from './fleet_metrics.js';
export * from './metric_definition.js';
export * from './metrics.js';
export * from './platform_metrics.js';
export * from './relay_metrics.js';
