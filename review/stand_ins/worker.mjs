import {Buffer} from 'node:buffer';
import http from 'node:http';

const MAX_REQUESTS = 90; // 18 slots and a queue of 72 on the users' sheet

/**
 * Stand-in for a worker. It checks the expected instance, counts its runs and
 * hands each run to `serve`. Its answers echo the id and bear a seal.
 */
export class Worker {
  #server;
  #options;
  /** Requests that are running, by id. */
  running = new Set();

  constructor(options) {
    this.#options = options;
    /** Of this incarnation. */
    this.id = options.id;
  }

  async start() {
    this.bornMs = Date.now();
    this.#server = http.createServer((request, response) =>
      this.#handle(request, response),
    );
    this.#server.keepAliveTimeout = 10_000;
    const {host, port} = this.#options;
    await new Promise(resolve => {
      this.#server.listen(port, host, resolve);
    });
  }

  /** Ends at once, with all that runs. */
  crash() {
    this.#server?.close();
    this.#server?.closeAllConnections();
    this.#server = undefined;
  }

  #handle(request, response) {
    const id = request.headers['x-request-id'];
    const expected = request.headers['x-expected-instance'];
    response.sendDate = false;
    if (expected !== undefined && expected !== this.id) {
      const headers = {'X-Instance-Id': this.id, 'Content-Length': 0};
      response.writeHead(421, {'X-Request-Id': id, ...headers});
      response.end();
      return;
    }
    if (this.running.size >= MAX_REQUESTS) {
      const headers = {'X-Not-Executed': '1', 'Content-Length': 0};
      response.writeHead(503, {'X-Request-Id': id, ...headers});
      response.end();
      return;
    }
    this.running.add(id);
    response.once('close', () => this.running.delete(id));
    this.#options.serve({
      worker: this,
      id,
      request,
      response,
      answer: (status, body = 'ok', headers = {}) =>
        answer(response, {id, status, body, headers}),
    });
  }
}

function answer(response, {id, status, body, headers}) {
  response.writeHead(status, {
    'X-Request-Id': id,
    'X-Server-Seal': `s.${id}.${status}`,
    'Content-Length': Buffer.byteLength(body),
    ...headers,
  });
  response.end(body);
}
