export * from './load_balancer.js';
export * from './worker_health.js';
