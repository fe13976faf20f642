export * from './carobseam_error.js';
export * from './describe_error.js';
export * from './run_binary.js';
