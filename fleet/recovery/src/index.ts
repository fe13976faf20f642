export * from './deferred_versions.js';
export * from './peer_survey.js';
export * from './startup_controller.js';
export * from './last_seen_versions.js';
