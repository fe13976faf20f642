import net from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';

/** What a proxy does to the bytes that pass it. */
export type LinkMood = 'passing' | 'slow' | 'oneWay' | 'silent';

const CHECK_INTERVAL_MS = 20; // between two looks whether the target listens
const SLOW_MS = 120; // two crossings make a quarter of the usual deadline

interface HostAndPort {
  host: string;
  port: number;
}

/** A loopback proxy that harms the connections through it. */
export class FaultProxy {
  mood: LinkMood = 'passing';
  readonly #server: net.Server;
  readonly #sockets = new Set<net.Socket>();
  readonly #target: HostAndPort;
  #isRefusing = false;
  #isClosed = false;

  /** @param target host and port of the real listener. */
  constructor(target: HostAndPort) {
    this.#target = target;
    this.#server = net.createServer({allowHalfOpen: true}, client => {
      const upstream = net.connect({...target, allowHalfOpen: true});
      this.#pipe(client, upstream, true);
      this.#pipe(upstream, client, false);
    });
  }

  async listen(host: string, port: number): Promise<void> {
    await new Promise<void>(resolve => {
      this.#server.listen(port, host, resolve);
    });
  }

  /**
   * Refuses connections until the target listens, as the target itself would.
   * Otherwise the proxy would accept them, and requests would be lost on them.
   */
  async refuseUntilUp(): Promise<void> {
    if (this.#isRefusing || this.#isClosed) {
      return;
    }
    const {address, port} = this.#server.address() as net.AddressInfo;
    this.#isRefusing = true;
    this.#server.close();
    while (!this.#isClosed && !(await canConnect(this.#target))) {
      await pause(CHECK_INTERVAL_MS);
    }
    if (!this.#isClosed) {
      await this.listen(address, port);
    }
    this.#isRefusing = false;
  }

  /** Resets every connection that is open. */
  resetAll(): void {
    this.#sockets.forEach(socket => socket.resetAndDestroy());
  }

  close(): void {
    this.#isClosed = true;
    this.#server.close();
    this.#sockets.forEach(socket => socket.destroy());
  }

  #pipe(from: net.Socket, to: net.Socket, isRequest: boolean): void {
    this.#sockets.add(from);
    from.on('data', chunk =>
      this.#pass(isRequest, () => !to.destroyed && to.write(chunk)),
    );
    from.on('end', () => this.#pass(isRequest, () => to.end()));
    // A harmed connection ends on both sides alike.
    from.on('error', () => to.resetAndDestroy());
    from.on('close', hadError => {
      this.#sockets.delete(from);
      if (!hadError) {
        this.#pass(isRequest, () => to.destroySoon());
      }
    });
  }

  #pass(isRequest: boolean, act: () => void): void {
    const moods: Record<LinkMood, () => void> = {
      passing: act,
      slow: () => void setTimeout(act, SLOW_MS),
      oneWay: () => (isRequest ? act() : undefined),
      silent: () => {},
    };
    moods[this.mood]();
  }
}

async function canConnect(target: HostAndPort): Promise<boolean> {
  return new Promise(resolve => {
    const socket = net.connect(target);
    socket.once('connect', () => {
      socket.destroy();
      resolve(true);
    });
    socket.once('error', () => resolve(false));
  });
}
