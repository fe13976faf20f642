import type {RandomSource} from '@carobseam/core.types';
import {wireHeaders} from '@carobseam/platform.adapter';
import http from 'node:http';
import type {Socket} from 'node:net';
import {endRun, type Ledger, type Run} from './ledger.js';

const MIN_WORK_MS = 5;
const WORK_SPREAD_MS = 60; // some requests meet a fault while they run
const LONG_WORK_SHARE = 0.2;
const LONG_WORK_SPREAD_MS = 900; // ends before the route's timeout
const SLOW_WORK_MS = 1000;
const SLOW_WORK_SPREAD_MS = 3000; // up to the timeout of the slow routes
const SLOW_PATH = /^\/slow/;
const STREAMED_SHARE = 0.3; // of the answers on slow routes begin long before they end
const LENGTH_SHARE = 0.5; // of these state their length

/** How a worker spoils its answers, or that it is slow on every route. */
export type WorkerMood =
  | 'sound'
  | 'slow'
  | 'losing'
  | 'cutting'
  | 'doubling'
  | 'failing'
  | 'repeating'
  | 'repeatingUnnamed'
  | 'closingInHead'
  | 'resettingInHead';

/** A request that reached a worker after its VM had been told of a statement. */
export interface ToldArrival {
  /** VM at which the request began. */
  vmIndex: number;
  /** When that VM passed on the first such response, on `performance.now`. */
  toldMs: number;
  atMs: number;
}

/** Options of `SoakWorker`. */
export interface SoakWorkerOptions {
  host: string;
  port: number;
  vmIndex: number;
  slots: number;
  random: RandomSource;
  ledger: Ledger;
  /** Hears of each request that is meant for this worker. */
  onArrival: (requestId: string) => void;
}

/** A worker whose runs are counted and whose answers can be checked. */
export class SoakWorker {
  mood: WorkerMood = 'sound';
  id = '';
  bornMs = 0;
  /** Whether its entry says that it leaves. */
  isDraining = false;
  /** Arrivals since the worker began to state something. */
  toldArrivals: ToldArrival[] = [];
  /** Refusals that are still to be repeated on their connections. */
  readonly #repeats = new WeakMap<Socket, string>();
  readonly #told = new Map<number, number>();
  #statement: http.OutgoingHttpHeaders = {};
  readonly #options: SoakWorkerOptions;
  #server?: http.Server;
  #running = 0;

  constructor(options: SoakWorkerOptions) {
    this.#options = options;
  }

  get isUp(): boolean {
    return this.#server !== undefined;
  }

  async start(id: string): Promise<void> {
    this.id = id;
    this.bornMs = Date.now();
    this.isDraining = false;
    this.stateNothing();
    this.#running = 0;
    const server = http.createServer((request, response) => {
      request.resume();
      request.on('end', () => this.#run(request, response));
    });
    this.#server = server;
    await new Promise<void>(resolve => {
      server.listen(this.#options.port, this.#options.host, resolve);
    });
  }

  /** States in all responses how many requests a second it accepts. */
  stateLimit(perS: number): void {
    this.#state({[wireHeaders.workerRateLimit]: perS.toFixed(1)});
  }

  /** States in all responses that it is about to exit. */
  stateLeaving(): void {
    this.#state({[wireHeaders.workerLeaving]: '1'});
  }

  stateNothing(): void {
    this.#state({});
  }

  /** Ends at once, with all that runs. */
  async crash(): Promise<void> {
    const server = this.#server;
    this.#server = undefined;
    if (server) {
      await new Promise<void>(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
      });
    }
  }

  #state(statement: http.OutgoingHttpHeaders): void {
    this.#statement = statement;
    this.#told.clear();
    this.toldArrivals = [];
  }

  /** Notes which VMs have passed on a statement, and what they send after it. */
  #recordArrival(id: string, response: http.ServerResponse): void {
    const statement = this.#statement;
    if (Object.keys(statement).length === 0) {
      return;
    }
    const vmIndex = Number.parseInt(id, 10);
    const atMs = performance.now();
    const toldMs = this.#told.get(vmIndex);
    if (toldMs !== undefined) {
      this.toldArrivals.push({vmIndex, toldMs, atMs});
    }
    response.once('finish', () => {
      const isSame = statement === this.#statement;
      if (isSame && response.statusCode === 200 && !this.#told.has(vmIndex)) {
        this.#told.set(vmIndex, performance.now());
      }
    });
  }

  #run(request: http.IncomingMessage, response: http.ServerResponse): void {
    const id = request.headers[wireHeaders.requestId] as string | undefined;
    if (id === undefined) {
      reject(response, 400);
      return;
    }
    response.setHeader(wireHeaders.requestId, id);
    if (request.headers[wireHeaders.expectedWorker] !== this.id) {
      reject(response, 421);
      return;
    }
    for (const [name, value] of Object.entries(this.#statement)) {
      response.setHeader(name, value!);
    }
    this.#recordArrival(id, response);
    this.#options.onArrival(id);
    if (this.#running >= this.#options.slots || this.#refuses(request, id)) {
      reject(response, 503);
      return;
    }
    this.#running++;
    const {ledger, vmIndex} = this.#options;
    const run = ledger.begin(id, this.id, vmIndex);
    const hasRepeated = this.#repeatRefusal(request.socket, run);
    response.once('close', () =>
      endRun(run, response.writableFinished ? 'answered' : 'cut'),
    );
    const url = request.url!;
    const workMs = this.#workMs(url);
    const {random} = this.#options;
    if (SLOW_PATH.test(url) && random.nextFloat() < STREAMED_SHARE) {
      const beginMs = workMs * random.nextFloat();
      setTimeout(() => this.#beginAnswer(id, url, response, run), beginMs);
    }
    setTimeout(() => {
      this.#running--;
      if (!run.ending || hasRepeated) {
        this.#answer(id, url, response, run);
      }
    }, workMs);
  }

  /** Whether an unsound worker refuses a request, to repeat that later. */
  #refuses({socket}: http.IncomingMessage, id: string): boolean {
    const headers = repeatedHeaders[this.mood]?.(id);
    const refuses =
      headers !== undefined &&
      !this.#repeats.has(socket) &&
      this.#options.random.nextFloat() < SPOILED_SHARE;
    if (refuses) {
      this.#repeats.set(socket, repeatedRefusal(headers));
    }
    return refuses;
  }

  /**
   * Sends the refusal of an earlier request where the answer of a run is due.
   *
   * @return whether it has, before the answer that follows.
   */
  #repeatRefusal(socket: Socket, run: Run): boolean {
    const refusal = this.#repeats.get(socket);
    if (refusal === undefined) {
      return false;
    }
    this.#repeats.delete(socket);
    endRun(run, 'spoiled');
    socket.write(refusal);
    return true;
  }

  #workMs(url: string): number {
    const {random} = this.#options;
    if (this.mood === 'slow' || SLOW_PATH.test(url)) {
      return SLOW_WORK_MS + random.nextFloat() * SLOW_WORK_SPREAD_MS;
    }
    const isLong = random.nextFloat() < LONG_WORK_SHARE;
    const spreadMs = isLong ? LONG_WORK_SPREAD_MS : WORK_SPREAD_MS;
    return MIN_WORK_MS + random.nextFloat() * spreadMs;
  }

  /** Sends the first part of an answer, with or without a length. */
  #beginAnswer(
    id: string,
    url: string,
    response: http.ServerResponse,
    run: Run,
  ): void {
    if (run.ending) {
      return;
    }
    const body = bodyOf(id, url);
    response.setHeader(wireHeaders.workerSignature, sealOf(id));
    if (this.#options.random.nextFloat() < LENGTH_SHARE) {
      response.setHeader('Content-Length', body.length);
    }
    response.write(body.slice(0, body.length / 2));
  }

  #answer(
    id: string,
    url: string,
    response: http.ServerResponse,
    run: Run,
  ): void {
    const body = bodyOf(id, url);
    if (response.headersSent) {
      response.end(body.slice(body.length / 2));
      return;
    }
    response.setHeader(wireHeaders.workerSignature, sealOf(id));
    const isSpoiled = this.#options.random.nextFloat() < SPOILED_SHARE;
    const moods: Record<WorkerMood, () => void> = {
      sound: () => response.end(body),
      slow: () => response.end(body),
      losing: () => {
        endRun(run, 'spoiled');
        response.destroy();
      },
      cutting: () => {
        endRun(run, 'spoiled');
        response.setHeader('Content-Length', body.length);
        response.write(body.slice(0, body.length / 2), () =>
          response.destroy(),
        );
      },
      doubling: () => {
        const {socket} = response;
        response.end(body, () => socket?.write(extraAnswer(id)));
      },
      repeating: () => response.end(body),
      repeatingUnnamed: () => response.end(body),
      closingInHead: () => {
        endRun(run, 'spoiled');
        response.socket?.write(partOfHead(id), () => response.destroy());
      },
      resettingInHead: () => {
        endRun(run, 'spoiled');
        const {socket} = response;
        socket?.write(partOfHead(id), () => socket.resetAndDestroy());
      },
      failing: () => {
        response.statusCode = 500;
        response.end('failed');
      },
    };
    moods[isSpoiled ? this.mood : 'sound']();
  }
}

const SPOILED_SHARE = 0.3; // of the answers while a worker is unsound

/** Seal of a worker over its answer to a request. */
export function sealOf(id: string): string {
  return `seal-${id}`;
}

/** The whole body of a worker's answer. */
export function bodyOf(id: string, url: string): string {
  return `${id} ${url} `.padEnd(PADDED_LENGTH, '.');
}

const PADDED_LENGTH = 3000; // several segments, so that a cut leaves a part

function reject(response: http.ServerResponse, status: number): void {
  response.statusCode = status;
  response.setHeader(wireHeaders.notExecuted, '1');
  response.end();
}

function extraAnswer(id: string): string {
  return [
    'HTTP/1.1 200 OK',
    `${wireHeaders.requestId}: ${id}`,
    `${wireHeaders.workerSignature}: ${sealOf(id)}`,
    'Content-Length: 5',
    '',
    'extra',
  ].join('\r\n');
}

/** Headers that name the request of a repeated refusal. */
const repeatedHeaders: Partial<
  Record<WorkerMood, (id: string) => readonly string[]>
> = {
  repeating: id => [`${wireHeaders.requestId}: ${id}`],
  repeatingUnnamed: () => [],
};

function repeatedRefusal(headers: readonly string[]): string {
  return [
    'HTTP/1.1 503 Service Unavailable',
    `${wireHeaders.notExecuted}: 1`,
    ...headers,
    'Content-Length: 0',
    '\r\n',
  ].join('\r\n');
}

function partOfHead(id: string): string {
  return `HTTP/1.1 200 OK\r\n${wireHeaders.requestId}: ${id}\r\nConte`;
}
