export * from './manifest.js';
export * from './platform_keys.js';
export * from './resource.js';
export * from './version_contents.js';
