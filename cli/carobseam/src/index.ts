export * from './check_command.js';
export * from './render_command.js';
