export * from './call_budget.js';
export * from './choose_readers.js';
export * from './platform_version_source.js';
export * from './reader_controller.js';
