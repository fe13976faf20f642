export * from './datagram_codec.js';
export * from './datagram_authenticator.js';
export * from './datagram_transport.js';
export * from './udp_transport.js';
