export * from './choose_worker.js';
export * from './decide_next_step.js';
export * from './worker_loads.js';
