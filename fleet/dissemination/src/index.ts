export * from './data_centre_exchange.js';
export * from './dissemination_controller.js';
export * from './dissemination_tree.js';
export * from './tree_broadcaster.js';
export * from './version_applier.js';
export * from './version_history.js';
export * from './version_puller.js';
