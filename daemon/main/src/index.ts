export * from './daemon.js';
