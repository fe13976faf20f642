export * from './blackboard.js';
export * from './daemon_state.js';
