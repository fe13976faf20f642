export * from './resolve_route.js';
export * from './worker_explainer.js';
