export * from './canonical.js';
export * from './delta.js';
export * from './digest.js';
export * from './manifest_codec.js';
export * from './pack_codec.js';
