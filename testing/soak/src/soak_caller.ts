import type {RandomSource} from '@carobseam/core.types';
import {wireHeaders} from '@carobseam/platform.adapter';
import http from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import type {Ledger} from './ledger.js';
import {
  EARLY_MS,
  findLoss,
  isStopping,
  type EndedRequest,
} from './loss_check.js';
import {
  GRACE_MS,
  isCalmSince,
  isCutSince,
  ROUTE_TIMEOUT_MS,
  SLOW_ROUTE_TIMEOUT_MS,
  SOAK_HOST,
  type SoakMesh,
  type SoakVm,
} from './soak_mesh.js';
import {bodyOf, sealOf} from './soak_worker.js';

const DEADLINE_MS = 2500;
const HELD_MS = 2000; // past the route's timeout; a busy relay reads late, and so does this process
const UNANSWERED_MS = 200; // from which a relay that stops owes an answer to a request
const INACTIVE_MS = 100; // between two looks whether there is traffic
const UNSAFE_SHARE = 0.3;
const FRESH_CONNECTION_SHARE = 0.3;
const SETTLE_MS = 300; // a relay that has just met a fault may still answer for it
// Statuses that promise that the request has not run and will not.
const PROMISES = new Set([408, 421, 429, 503]);
// Statuses that leave it open whether the request has run.
const UNCERTAIN = new Set([502, 504]);

interface RouteUse {
  read: string;
  buy: string;
  timeoutMs: number;
  deadlineMs: number;
}

const QUICK: RouteUse = {
  read: 'read',
  buy: 'buy',
  timeoutMs: ROUTE_TIMEOUT_MS,
  deadlineMs: DEADLINE_MS,
};
const SLOW: RouteUse = {
  read: 'slowRead',
  buy: 'slowBuy',
  timeoutMs: SLOW_ROUTE_TIMEOUT_MS,
  deadlineMs: SLOW_ROUTE_TIMEOUT_MS,
};

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
  /** Of the lost ones, those whose caller's relay was stopping. */
  lost_at_stop: number;
  false_refusals: number;
  /** Answered 502 or 504 by relays, with no kill, though no worker got them. */
  untried: number;
  /** Closed without an answer by a relay that stops, though no worker got them. */
  unanswered: number;
}

/** Options of `SoakCaller`. */
export interface SoakCallerOptions {
  vm: SoakVm;
  mesh: SoakMesh;
  /** Longest time between two requests, in ms. */
  maxPauseMs: number;
  name: string;
  /** Whether it uses the slow routes, and only while callers shall. */
  isSlow: boolean;
  random: RandomSource;
  ledger: Ledger;
  counts: SoakCounts;
  broken: (text: string) => void;
  progress: (line: string) => void;
}

/** A caller on one VM that checks each answer. */
export class SoakCaller {
  readonly #options: SoakCallerOptions;
  readonly #agent = new http.Agent({keepAlive: true, maxSockets: 1});
  /** Requests that must not have run more than once, or not at all. */
  readonly #unsafeIds: string[] = [];
  readonly #promisedIds: string[] = [];
  /** Requests that count if no worker gets them. */
  readonly #uncertain: EndedRequest[] = [];
  readonly #unanswered: EndedRequest[] = [];
  readonly #use: RouteUse;
  #sent = 0;
  #isStopped = false;

  constructor(options: SoakCallerOptions) {
    this.#options = options;
    this.#use = options.isSlow ? SLOW : QUICK;
  }

  async run(): Promise<void> {
    const {random, maxPauseMs, isSlow, mesh} = this.#options;
    while (!this.#isStopped) {
      if (isSlow && !mesh.hasSlowCallers) {
        await pause(INACTIVE_MS);
        continue;
      }
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
    counts.untried += this.#countUnsent(this.#uncertain, 'untried');
    counts.unanswered += this.#countUnsent(this.#unanswered, 'unanswered');
    const doubled = this.#unsafeIds.filter(id => ledger.runsOf(id).length > 1);
    doubled.forEach(id => this.#broken(id, 'ran more than once'));
    return doubled.length;
  }

  /** Tells and counts the requests that no worker got. */
  #countUnsent(requests: readonly EndedRequest[], text: string): number {
    const {ledger, progress} = this.#options;
    const unsent = requests.filter(({id}) => !ledger.hasArrived(id));
    for (const {id, vm, sentMs, endMs, stopMs, end} of unsent) {
      const stop = Number.isFinite(stopMs)
        ? `, ${Math.round(endMs - stopMs)} ms after the last SIGTERM`
        : '';
      progress(
        `request ${id} ${text}: ${end} from vm-${vm.index} after ${Math.round(endMs - sentMs)} ms${stop}`,
      );
    }
    return unsent.length;
  }

  async #call(): Promise<void> {
    const {counts, random, name} = this.#options;
    const isUnsafe = random.nextFloat() < UNSAFE_SHARE;
    const id = `${name}-${this.#sent++}`;
    const url = `/${isUnsafe ? this.#use.buy : this.#use.read}/${id}`;
    const sentMs = performance.now();
    counts.requests++;
    const outcome = await this.#send(id, url, isUnsafe);
    if (isUnsafe) {
      this.#unsafeIds.push(id);
    }
    if (this.#isLost(id, outcome, sentMs)) {
      return;
    }
    if (typeof outcome === 'string') {
      this.#checkMissing(id, outcome, sentMs);
    } else {
      this.#checkAnswer(id, url, outcome, isUnsafe);
    }
  }

  /** Counts a request that a relay ended early; false if it may end so. */
  #isLost(id: string, outcome: Outcome, sentMs: number): boolean {
    const {vm, mesh, ledger, counts} = this.#options;
    if (typeof outcome !== 'string' && outcome.seal) {
      return false;
    }
    const end = typeof outcome === 'string' ? outcome : outcome.status;
    const endMs = performance.now();
    const {timeoutMs} = this.#use;
    const {stopMs} = vm;
    const request = {id, vm, stopMs, sentMs, endMs, timeoutMs, end};
    this.#noteUnsent(request);
    const loss = findLoss(request, ledger, mesh.vms);
    if ('text' in loss) {
      counts.lost++;
      counts.lost_at_stop += loss.kind === 'lostAtStop' ? 1 : 0;
      this.#broken(id, loss.text);
    }
    return 'text' in loss || (loss.kind === 'excused' && end === 'closed');
  }

  /** Notes an end that is a pity if no worker gets the request. */
  #noteUnsent(request: EndedRequest): void {
    const {vm, sentMs, endMs, end} = request;
    const {vms} = this.#options.mesh;
    if (vms.some(other => isCutSince(other, sentMs))) {
      return;
    }
    if (UNCERTAIN.has(Number(end))) {
      this.#uncertain.push(request);
    } else if (
      end === 'closed' &&
      isStopping(vm, endMs) &&
      endMs - sentMs > UNANSWERED_MS
    ) {
      this.#unanswered.push(request);
    }
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
    // A relay that stops gracefully owes an answer to what it passed on, but for
    // a request whose time was over when the platform killed the relay.
    const endMs = performance.now();
    const isOver =
      endMs - sentMs > this.#use.timeoutMs - EARLY_MS &&
      isStopping(vm, endMs) &&
      endMs >= vm.stopMs + GRACE_MS;
    const isOwed =
      wasCalm || (!hasEnded && !isOver && ledger.runsOf(id).length > 0);
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
      }, this.#use.timeoutMs + HELD_MS);
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
            [wireHeaders.deadlineMs]: String(this.#use.deadlineMs),
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
