export * from './feed_client.js';
export * from './feed_message.js';
export * from './reader_links.js';
export * from './source_follower.js';
export * from './state_feed.js';
