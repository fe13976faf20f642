export * from './key_guard.js';
