export * from './http_platform_reader.js';
export * from './platform_reader.js';
export * from './vm_list.js';
