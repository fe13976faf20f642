export * from './fleet_authenticator.js';
export * from './link_client.js';
export * from './link_messages.js';
export * from './link_server.js';
export * from './peer_link.js';
