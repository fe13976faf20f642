import {Buffer} from 'node:buffer';
import http from 'node:http';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL} from 'node:url';

const COLUMNS = [
  'name',
  'host',
  'prefix',
  'kind',
  'timeoutMs',
  'targetLatencyMs',
  'priority',
  'trafficSplit',
  'maxAttempts',
  'service',
];

/** Stand-in for the platform's store: `/kv-range` and `/kv-watch`, with eras. */
export class Store {
  #items = new Map();
  #history = [];
  #revision = 1;
  #era = 0;
  #waiting = new Set();
  #server = http.createServer((request, response) =>
    this.#handle(request, response),
  );
  /** Called for each request; returns true if it has dealt with it. */
  intercept = () => false;

  async listen(host) {
    await new Promise(resolve => {
      this.#server.listen(0, host, resolve);
    });
    return `${host}:${this.#server.address().port}`;
  }

  close() {
    this.#wake();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  putWorker(id, entry) {
    this.#put(`servers/${id}`, entry);
  }

  removeWorker(id) {
    const key = `servers/${id}`;
    if (this.#items.delete(key)) {
      this.#append({key, revision: ++this.#revision, deleted: true});
    }
  }

  putConfig({version, routes, services, limits}) {
    this.#put('op/config', {
      version,
      routes: {
        columns: COLUMNS,
        rows: routes.map(route => COLUMNS.map(name => route[name] ?? null)),
      },
      services: {
        columns: ['name', 'healthPath', 'maxConnections', 'protocol', 'tls'],
        rows: services.map(name => [name, '/health', 130, 'h1', false]),
      },
      limits,
    });
  }

  copy() {
    return {
      items: new Map(this.#items),
      history: [...this.#history],
      revision: this.#revision,
    };
  }

  /** Goes back to a copy; revisions are given out again. */
  restore(copy) {
    this.#items = new Map(copy.items);
    this.#history = [...copy.history];
    this.#revision = copy.revision;
    this.#era++;
    this.#wake();
  }

  #put(key, value) {
    const item = {
      key,
      revision: ++this.#revision,
      value: Buffer.from(JSON.stringify(value)).toString('base64'),
    };
    this.#items.set(key, item);
    this.#append(item);
  }

  #append(item) {
    this.#history.push(item);
    this.#wake();
  }

  #wake() {
    const waiting = [...this.#waiting];
    this.#waiting.clear();
    waiting.forEach(resume => resume());
  }

  async #handle(request, response) {
    if (this.intercept(request, response)) {
      return;
    }
    const url = new URL(request.url, 'http://store');
    const query = url.searchParams;
    if (url.pathname === '/kv-range') {
      const prefix = query.get('prefix') ?? '';
      const after = query.get('after') ?? '';
      const items = [...this.#items.values()]
        .filter(({key}) => key.startsWith(prefix) && key > after)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      this.#send(response, 200, {items, truncated: false});
    } else if (url.pathname === '/kv-watch') {
      await this.#watch(query, response);
    } else {
      this.#send(response, 404, {});
    }
  }

  async #watch(query, response) {
    const after = Number(query.get('after'));
    const era = this.#era;
    if (after === this.#revision) {
      await this.#untilChange(Number(query.get('waitMs')));
    }
    if (after > this.#revision || era !== this.#era) {
      this.#send(response, 410, {});
      return;
    }
    const events = this.#history.filter(({revision}) => revision > after);
    this.#send(response, 200, {events});
  }

  #untilChange(waitMs) {
    return new Promise(resolve => {
      const resume = () => {
        clearTimeout(timer);
        this.#waiting.delete(resume);
        resolve();
      };
      const timer = setTimeout(resume, waitMs);
      this.#waiting.add(resume);
    });
  }

  #send(response, status, body) {
    const text = JSON.stringify({...body, currentRev: this.#revision});
    response.writeHead(status, {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(text),
      'Store-Era': this.#era,
    });
    response.end(text);
  }
}
