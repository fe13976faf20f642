export * from './deadline.js';
export * from './retry_budget.js';
export * from './retry_decider.js';
export * from './service_retry_budgets.js';
