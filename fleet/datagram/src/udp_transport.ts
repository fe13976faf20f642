import {CarobseamError, describeError} from '@carobseam/core.errors';
import type {Logger} from '@carobseam/core.logger';
import type {Metrics} from '@carobseam/core.metrics';
import type {Controller, DataCentreName} from '@carobseam/core.types';
import type {DatagramMessage, FleetEndpoint} from '@carobseam/fleet.types';
import {createSocket, type RemoteInfo, type Socket} from 'node:dgram';
import {isIPv6} from 'node:net';
import {decodeDatagram, encodeDatagram} from './datagram_codec.js';
import type {DatagramAuthenticator} from './datagram_authenticator.js';
import type {DatagramHandler, DatagramTransport} from './datagram_transport.js';

/** Options of a `UdpTransport`. */
export interface UdpTransportOptions {
  address: string;
  port: number;
  dataCentre: DataCentreName;
  authenticator: DatagramAuthenticator;
  metrics: Metrics;
  logger: Logger;
}

/** Maximum size of a datagram; fits into one packet on common networks. */
export const MAX_DATAGRAM_BYTES = 1400;

/**
 * Sends and receives datagrams on the fleet port. Invalid datagrams are dropped
 * and counted.
 */
export class UdpTransport implements Controller, DatagramTransport {
  readonly #options: UdpTransportOptions;
  readonly #socket: Socket;
  #handler: DatagramHandler = () => {};
  #isOpen = false;

  constructor(options: UdpTransportOptions) {
    this.#options = options;
    this.#socket = createSocket(isIPv6(options.address) ? 'udp6' : 'udp4');
    this.#socket.on('message', (bytes, from) => this.#receive(bytes, from));
  }

  /** @throws CarobseamError `LISTEN_FAILED`. */
  async start(): Promise<void> {
    const {address, port, logger} = this.#options;
    await new Promise<void>((resolve, reject) => {
      const fail = (error: Error) =>
        reject(
          new CarobseamError({
            code: 'LISTEN_FAILED',
            message: `cannot listen for datagrams on ${address}:${port}`,
            hint: 'choose a free port as fleet.port in the settings',
            cause: error,
          }),
        );
      this.#socket.once('error', fail);
      this.#socket.bind(port, address, () => {
        this.#socket.off('error', fail);
        resolve();
      });
    });
    this.#socket.on('error', error =>
      logger.warn('datagram_socket_failed', {error: describeError(error)}),
    );
    this.#isOpen = true;
  }

  async close(): Promise<void> {
    if (this.#isOpen) {
      this.#isOpen = false;
      await new Promise<void>(resolve => this.#socket.close(() => resolve()));
    }
  }

  onMessage(handler: DatagramHandler): void {
    this.#handler = handler;
  }

  send(to: FleetEndpoint, message: DatagramMessage): void {
    if (!this.#isOpen) {
      return;
    }
    const audience = `${to.address}:${to.fleetPort}`;
    const bytes = this.#options.authenticator.sign(
      encodeDatagram(message),
      audience,
    );
    if (bytes.length > MAX_DATAGRAM_BYTES) {
      this.#countDrop('datagram_too_large_to_send');
      return;
    }
    this.#countBytes('out', bytes.length);
    // Datagrams may be lost; callers detect this by a timeout. So errors need
    // no handling here.
    this.#socket.send(bytes, to.fleetPort, to.address, () => {});
  }

  #receive(bytes: Buffer, from: RemoteInfo): void {
    this.#countBytes('in', bytes.length);
    if (bytes.length > MAX_DATAGRAM_BYTES) {
      this.#countDrop('datagram_oversized');
      return;
    }
    const verified = this.#options.authenticator.verify(bytes);
    if (!verified.valid) {
      this.#countDrop(`datagram_${verified.reason}`);
      return;
    }
    const message = decodeDatagram(verified.payload);
    if (!message) {
      this.#countDrop('datagram_malformed');
      return;
    }
    if (this.#isFromOtherDataCentre(message)) {
      this.#countDrop('datagram_foreign');
      return;
    }
    this.#handler(message, {address: from.address, fleetPort: from.port});
  }

  #isFromOtherDataCentre(message: DatagramMessage): boolean {
    const {dataCentre} = this.#options;
    return 'sender' in message && message.sender.dataCentre !== dataCentre;
  }

  #countDrop(reason: string): void {
    const {metrics} = this.#options;
    metrics.increment('carobseam_messages_dropped_total', {reason});
  }

  #countBytes(direction: 'in' | 'out', bytes: number): void {
    this.#options.metrics.increment(
      'carobseam_control_bytes_total',
      {direction, kind: 'datagram'},
      bytes,
    );
  }
}
