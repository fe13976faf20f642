export * from './majority_tracker.js';
export * from './endpoint_view.js';
export * from './process_exit_check.js';
export * from './member_table.js';
export * from './membership_controller.js';
export * from './membership_core.js';
