import net from 'node:net';

/** What a proxy does to the bytes that pass it. */
export type LinkMood = 'passing' | 'slow' | 'oneWay' | 'silent';

const SLOW_MS = 120; // two crossings make a quarter of the usual deadline

/** A loopback proxy that harms the connections through it. */
export class FaultProxy {
  mood: LinkMood = 'passing';
  readonly #server: net.Server;
  readonly #sockets = new Set<net.Socket>();

  /** @param target host and port of the real listener. */
  constructor(target: {host: string; port: number}) {
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

  /** Resets every connection that is open. */
  resetAll(): void {
    this.#sockets.forEach(socket => socket.resetAndDestroy());
  }

  close(): void {
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
