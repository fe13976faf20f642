import net from 'node:net';
import {performance} from 'node:perf_hooks';
import {setTimeout} from 'node:timers';

// Packets that a cut drops are sent again at these times after the first one.
const RESEND_AFTER_MS = [1000, 3000, 7000];

/**
 * A loopback proxy whose link can be cut for some time. What is sent during the
 * cut, a new connection included, arrives when TCP would send it again after the
 * cut, not at its end.
 */
export class CutProxy {
  #target;
  #server = net.createServer(client => this.#accept(client));
  #sockets = new Set();
  #cutUntilMs = -Infinity;

  /** @param target host and port. */
  constructor(target) {
    this.#target = target;
  }

  /** Listens on a free port; returns the address. */
  async listen(host) {
    await new Promise(resolve => {
      this.#server.listen(0, host, resolve);
    });
    return `${host}:${this.#server.address().port}`;
  }

  cutUntil(ms) {
    this.#cutUntilMs = ms;
  }

  close() {
    this.#server.close();
    this.#sockets.forEach(socket => socket.destroy());
  }

  #accept(client) {
    const delayMs = this.#delayMs();
    this.#sockets.add(client);
    client.on('error', () => {});
    setTimeout(() => {
      if (client.destroyed) {
        return;
      }
      const server = net.connect(this.#target);
      this.#sockets.add(server);
      server.on('error', () => client.destroy());
      this.#pass(client, server);
      this.#pass(server, client);
    }, delayMs);
  }

  #pass(from, to) {
    let arrivesMs = 0;
    from.on('data', chunk => {
      // Later bytes never overtake earlier ones.
      arrivesMs = Math.max(arrivesMs, performance.now() + this.#delayMs());
      setTimeout(() => to.write(chunk), arrivesMs - performance.now());
    });
    from.on('close', () => {
      this.#sockets.delete(from);
      to.destroy();
    });
  }

  #delayMs() {
    const remainingMs = this.#cutUntilMs - performance.now();
    return remainingMs <= 0
      ? 0
      : (RESEND_AFTER_MS.find(ms => ms >= remainingMs) ?? remainingMs);
  }
}
