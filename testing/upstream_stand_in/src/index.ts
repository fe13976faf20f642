export * from './upstream_stand_in.js';
