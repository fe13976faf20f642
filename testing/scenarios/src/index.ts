export * from './in_memory_fleet.js';
export * from './run_scenario.js';
export * from './scenario_schema.js';
