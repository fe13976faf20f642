export * from './validate_version.js';
