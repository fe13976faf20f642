export * from './http_get.js';
