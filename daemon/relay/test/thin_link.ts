import {splitAddress} from '@carobseam/core.net';
import net, {type AddressInfo} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';

const HOST = '127.0.0.1';
const PACKET_BYTES = 4096; // several packets of a network, to need fewer timers

/** The incoming direction of a VM's link; all connections share its bandwidth. */
export class ThinLink {
  /** Bandwidth that the VM's other traffic leaves. */
  bytesPerS: number;
  receivedBytes = 0;
  #freeAtMs = 0;

  constructor(bytesPerS: number) {
    this.bytesPerS = bytesPerS;
  }

  /** Lets no byte pass for some time. */
  block(durationMs: number): void {
    this.#freeAtMs = performance.now() + durationMs;
  }

  /** Resolves when the bytes have passed behind those of earlier calls. */
  async transfer(bytes: number): Promise<void> {
    const nowMs = performance.now();
    this.receivedBytes += bytes;
    this.#freeAtMs =
      Math.max(nowMs, this.#freeAtMs) + (bytes / this.bytesPerS) * 1000;
    await pause(this.#freeAtMs - nowMs);
  }
}

/** Forwards connections to one server, with its responses over a thin link. */
export class ThinLinkProxy {
  readonly #sockets = new Set<net.Socket>();
  readonly #link: ThinLink;
  readonly #server: net.Server;

  /** @param target IP address and port of the server. */
  constructor(link: ThinLink, target: string) {
    this.#link = link;
    this.#server = net.createServer(client => {
      const server = net.connect(splitAddress(target));
      this.#connect(client, server);
    });
  }

  /** @return IP address and port of the proxy. */
  async listen(): Promise<string> {
    await new Promise<void>(resolve => {
      this.#server.listen(0, HOST, resolve);
    });
    return `${HOST}:${(this.#server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.#server.close();
    this.#sockets.forEach(socket => socket.destroy());
  }

  #connect(client: net.Socket, server: net.Socket): void {
    for (const [socket, other] of [
      [client, server],
      [server, client],
    ] as const) {
      this.#sockets.add(socket);
      socket.on('error', () => other.destroy());
      socket.on('close', () => {
        this.#sockets.delete(socket);
        other.destroy();
      });
    }
    client.pipe(server);
    server.on('data', chunk => void this.#pass(chunk, server, client));
  }

  async #pass(
    chunk: Buffer,
    server: net.Socket,
    client: net.Socket,
  ): Promise<void> {
    server.pause();
    for (let start = 0; start < chunk.length; start += PACKET_BYTES) {
      const packet = chunk.subarray(start, start + PACKET_BYTES);
      await this.#link.transfer(packet.length);
      client.write(packet);
    }
    server.resume();
  }
}
