import type {RandomSource} from '@carobseam/core.types';
import {wireHeaders} from '@carobseam/platform.adapter';
import http from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import type {Ledger} from './ledger.js';
import {
  isCalmSince,
  isCutSince,
  ROUTE_TIMEOUT_MS,
  SOAK_HOST,
  type SoakVm,
} from './soak_mesh.js';
import {bodyOf, sealOf} from './soak_worker.js';

const DEADLINE_MS = 2500;
const HELD_MS = 1000; // past the deadline; a turn of this busy process may take a part of it
const EARLY_MS = 200; // an answer by so much before the timeout is not one for it
const UNSAFE_SHARE = 0.3;
const FRESH_CONNECTION_SHARE = 0.3;
const SETTLE_MS = 300; // a relay that has just met a fault may still answer for it
// Statuses that promise that the request has not run and will not.
const PROMISES = new Set([408, 421, 429, 503]);

interface Answer {
  status: number;
  seal: string | undefined;
  body: string;
}

type Outcome = Answer | 'refused' | 'closed' | 'held';

/** What callers have seen. */
export interface SoakCounts {
  requests: number;
  served: number;
  lost: number;
  false_refusals: number;
}

/** Options of `SoakCaller`. */
export interface SoakCallerOptions {
  vm: SoakVm;
  vms: readonly SoakVm[];
  /** Longest time between two requests, in ms. */
  maxPauseMs: number;
  name: string;
  random: RandomSource;
  ledger: Ledger;
  counts: SoakCounts;
  broken: (text: string) => void;
}

/** A caller on one VM that checks each answer. */
export class SoakCaller {
  readonly #options: SoakCallerOptions;
  readonly #agent = new http.Agent({keepAlive: true, maxSockets: 1});
  /** Requests that must not have run more than once, or not at all. */
  readonly #unsafeIds: string[] = [];
  readonly #promisedIds: string[] = [];
  #sent = 0;
  #isStopped = false;

  constructor(options: SoakCallerOptions) {
    this.#options = options;
  }

  async run(): Promise<void> {
    const {random, maxPauseMs} = this.#options;
    while (!this.#isStopped) {
      await this.#call();
      await pause(random.nextFloat() * maxPauseMs);
    }
    this.#agent.destroy();
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Checks what can only be known at the end; returns the doubled requests. */
  finish(): number {
    const {ledger, counts} = this.#options;
    for (const id of this.#promisedIds) {
      if (ledger.runsOf(id).length > 0) {
        counts.false_refusals++;
        this.#broken(id, 'ran though its refusal said it had not');
      }
    }
    const doubled = this.#unsafeIds.filter(id => ledger.runsOf(id).length > 1);
    doubled.forEach(id => this.#broken(id, 'ran more than once'));
    return doubled.length;
  }

  async #call(): Promise<void> {
    const {counts, random, name} = this.#options;
    const isUnsafe = random.nextFloat() < UNSAFE_SHARE;
    const id = `${name}-${this.#sent++}`;
    const url = `/${isUnsafe ? 'buy' : 'read'}/${id}`;
    const sentMs = performance.now();
    counts.requests++;
    const outcome = await this.#send(id, url, isUnsafe);
    if (isUnsafe) {
      this.#unsafeIds.push(id);
    }
    if (this.#isLost(id, outcome, sentMs)) {
      counts.lost++;
    } else if (typeof outcome === 'string') {
      this.#checkMissing(id, outcome, sentMs);
    } else {
      this.#checkAnswer(id, url, outcome, isUnsafe);
    }
  }

  /**
   * Whether a relay ended the request early, with an answer of its own or none,
   * though a worker ran it and nothing on its way was killed or cut.
   */
  #isLost(id: string, outcome: Outcome, sentMs: number): boolean {
    const {vm, vms, ledger} = this.#options;
    const endMs = performance.now();
    const isFromWorker = typeof outcome !== 'string' && outcome.seal;
    const isLate = endMs - sentMs > ROUTE_TIMEOUT_MS - EARLY_MS;
    if (isFromWorker || isLate || isCutSince(vm, sentMs)) {
      return false;
    }
    const run = ledger
      .runsOf(id)
      .find(
        ({vmIndex, ending}) =>
          ending !== 'spoiled' && !isCutSince(vms[vmIndex]!, sentMs),
      );
    if (!run) {
      return false;
    }
    const after = (ms: number) => `${Math.round(ms - sentMs)} ms`;
    const end = typeof outcome === 'string' ? outcome : outcome.status;
    const work = run.endMs
      ? `${run.ending} after ${after(run.endMs)}`
      : 'still at work';
    const sent = new Date(performance.timeOrigin + sentMs).toISOString();
    this.#broken(
      id,
      `lost: ${end} from vm-${vm.index} after ${after(endMs)}, sent ${sent}, ` +
        `run by ${run.workerId} after ${after(run.startMs)}, ${work}`,
    );
    return true;
  }

  #checkAnswer(
    id: string,
    url: string,
    answer: Answer,
    isUnsafe: boolean,
  ): void {
    if (answer.status === 200) {
      this.#options.counts.served++;
      if (answer.seal !== sealOf(id) || answer.body !== bodyOf(id, url)) {
        this.#broken(id, 'got another answer than its worker gave');
      }
    } else if (answer.seal !== undefined && answer.body !== 'failed') {
      this.#broken(id, `got a changed failure, status ${answer.status}`);
    } else if (answer.status === 404) {
      this.#broken(id, 'got 404 on a route of every version');
    } else if (isUnsafe && PROMISES.has(answer.status)) {
      this.#promisedIds.push(id);
    }
  }

  #checkMissing(
    id: string,
    outcome: Exclude<Outcome, Answer>,
    sentMs: number,
  ): void {
    const {vm, ledger, counts} = this.#options;
    const wasCalm = isCalmSince(vm, sentMs - SETTLE_MS);
    const hasEnded = vm.endedMs > sentMs - SETTLE_MS;
    if (outcome === 'held' && wasCalm) {
      this.#broken(id, 'got no answer until long after its deadline');
    }
    // A relay that stops gracefully owes an answer to what it passed on.
    const isOwed = wasCalm || (!hasEnded && ledger.runsOf(id).length > 0);
    if (outcome === 'closed' && isOwed && vm.process!.isRunning) {
      counts.lost++;
      this.#broken(id, 'was closed without an answer');
    }
  }

  #broken(id: string, text: string): void {
    this.#options.broken(`request ${id} ${text}`);
  }

  #send(id: string, url: string, isUnsafe: boolean): Promise<Outcome> {
    const {vm, random} = this.#options;
    const isFresh = random.nextFloat() < FRESH_CONNECTION_SHARE;
    return new Promise(resolve => {
      const timer = setTimeout(() => {
        resolve('held');
        request.destroy();
      }, DEADLINE_MS + HELD_MS);
      const end = (outcome: Outcome) => {
        clearTimeout(timer);
        resolve(outcome);
      };
      const request = http.request(
        {
          ...vm.outbound,
          path: url,
          method: isUnsafe ? 'POST' : 'GET',
          agent: isFresh ? false : this.#agent,
          headers: {
            host: SOAK_HOST,
            [wireHeaders.requestId]: id,
            [wireHeaders.deadlineMs]: String(DEADLINE_MS),
          },
        },
        response => {
          const chunks: Buffer[] = [];
          response.on('data', chunk => chunks.push(chunk as Buffer));
          response.on('error', () => end('closed'));
          response.on('end', () => {
            const seal = response.headers[wireHeaders.workerSignature];
            end({
              status: response.statusCode!,
              seal: seal as string | undefined,
              body: Buffer.concat(chunks).toString(),
            });
          });
        },
      );
      request.on('error', (error: NodeJS.ErrnoException) =>
        end(error.code === 'ECONNREFUSED' ? 'refused' : 'closed'),
      );
      request.end(isUnsafe ? 'order' : undefined);
    });
  }
}
