export * from './crash_mark_store.js';
export * from './crash_mark_table.js';
export * from './crash_marks.js';
export * from './request_fingerprint.js';
export * from './replicated_crash_mark_store.js';
