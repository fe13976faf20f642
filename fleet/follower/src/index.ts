export * from './feed_client.js';
export * from './feed_encoder.js';
export * from './feed_message.js';
export * from './feed_server.js';
export * from './reader_follower.js';
export * from './source_follower.js';
export * from './change_feed.js';
