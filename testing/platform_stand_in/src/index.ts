export * from './in_memory_platform_reader.js';
export * from './in_memory_platform.js';
export * from './publish_directory.js';
export * from './platform_stand_in_server.js';
