export * from './config_delta.js';
export * from './mesh_changes.js';
export * from './mesh_config.js';
export * from './mesh_source.js';
export * from './mesh_state.js';
export * from './mesh_worker.js';
export * from './source_revision.js';
export * from './route_table.js';
export type {WorkerChange} from './worker_entry.js';
