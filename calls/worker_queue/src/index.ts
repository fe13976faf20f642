export * from './queued_request.js';
export * from './rate_limiter.js';
export * from './service_time_estimate.js';
export * from './worker_queue.js';
