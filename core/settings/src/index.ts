export * from './daemon_settings.js';
export * from './load_settings.js';
export * from './parse_yaml.js';
