export * from './tree_notice_broadcaster.js';
export * from './notice_subscription.js';
