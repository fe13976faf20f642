export * from './brand.js';
export * from './clock.js';
export * from './controller.js';
export * from './ids.js';
export * from './random_source.js';
