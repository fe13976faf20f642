import type {DatagramMessage, FleetEndpoint} from '@carobseam/fleet.types';

/** Handles a valid message of a peer. */
export type DatagramHandler = (
  message: DatagramMessage,
  from: FleetEndpoint,
) => void;

/** Sends datagrams without delivery guarantee. Tests use an in-memory fake. */
export interface DatagramTransport {
  send(to: FleetEndpoint, message: DatagramMessage): void;
  /** Sets the handler of received messages; replaces the previous one. */
  onMessage(handler: DatagramHandler): void;
}
