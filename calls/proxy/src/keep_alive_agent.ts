import {Agent, type AgentOptions, type ClientRequest} from 'node:http';
import type {Socket} from 'node:net';

const IDLE_TIMEOUT_MS = 30_000;

/**
 * Connection pool that closes an idle connection when data arrives on it. The
 * next request would otherwise take such data for its response.
 */
export class KeepAliveAgent extends Agent {
  constructor(options: AgentOptions = {}) {
    super({keepAlive: true, timeout: IDLE_TIMEOUT_MS, ...options});
  }

  override keepSocketAlive(socket: Socket): boolean {
    if (socket.readableLength > 0 || socket.destroyed) {
      return false;
    }
    // The method returns whether the connection stays open; its type lacks
    // this.
    const isKept: unknown = super.keepSocketAlive(socket);
    if (isKept === false) {
      return false;
    }
    socket.on('data', destroySocket);
    return true;
  }

  override reuseSocket(socket: Socket, request: ClientRequest): void {
    socket.off('data', destroySocket);
    super.reuseSocket(socket, request);
  }
}

function destroySocket(this: Socket): void {
  this.destroy();
}
