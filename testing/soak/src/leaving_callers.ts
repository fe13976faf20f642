import type {RandomSource} from '@carobseam/core.types';
import {wireHeaders} from '@carobseam/platform.adapter';
import {once} from 'node:events';
import net from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import type {Ledger} from './ledger.js';
import {isCalmSince, SOAK_HOST, type SoakVm} from './soak_mesh.js';

const DEADLINE_MS = 2500;
const CALLERS = 8; // at a VM; 40 exhausted the processor of the soak itself
const MIN_STAY_MS = 10;
const MAX_STAY_MS = 600;
const MAX_WAIT_MS = 800; // for the answer before the request that is left
const FRESH_SHARE = 0.4;
const RESET_SHARE = 0.5;
const UNSAFE_SHARE = 0.3;
const GONE_MS = 500; // from which a request whose caller has left must not reach a worker
const MAX_LATE = 3; // in a run
const LAG_CHECK_MS = 20;
const MAX_LAG_MS = 100;

/** Options of `LeavingCallers`. */
export interface LeavingCallersOptions {
  vms: readonly SoakVm[];
  random: RandomSource;
  ledger: Ledger;
  broken: (text: string) => void;
}

/**
 * Callers that close their connections before they have an answer, and the
 * check that their requests don't reach workers afterwards.
 */
export class LeavingCallers {
  readonly #options: LeavingCallersOptions;
  /** When the caller of a request left, on `performance.now`, in ms. */
  readonly #leftMs = new Map<string, number>();
  readonly #unsafeIds: string[] = [];
  readonly #late: string[] = [];
  readonly #lagTimer: NodeJS.Timeout;
  #lastTurnMs = performance.now();
  /** When the soak itself was last behind, on `performance.now`, in ms. */
  #lagMs = -Infinity;
  #sent = 0;

  constructor(options: LeavingCallersOptions) {
    this.#options = options;
    this.#lagTimer = setInterval(() => this.#turn(), LAG_CHECK_MS);
  }

  /** Requests that have reached workers long after their callers had left. */
  get lateCount(): number {
    return this.#late.length;
  }

  /** Has callers come to a VM and leave it, until a moment. */
  async visit(vm: SoakVm, endMs: number): Promise<void> {
    const callers = Array.from({length: CALLERS}, async () => {
      while (performance.now() < endMs) {
        await this.#callAndLeave(vm);
      }
    });
    await Promise.all(callers);
  }

  /**
   * Notes a request at a worker. It counts as late from half a second after its
   * caller left and after the end of the last fault of the relay at either end
   * of its way: a paused relay can't read that the connection was closed. The
   * workers run in this process, so that its own lag excuses as well.
   */
  arrive(id: string, workerVm: SoakVm): void {
    const sinceMs = performance.now() - GONE_MS;
    const leftMs = this.#leftMs.get(id);
    const entryVm = this.#options.vms[Number.parseInt(id, 10)];
    this.#noteLag();
    if (leftMs === undefined || leftMs > sinceMs || this.#lagMs > sinceMs) {
      return;
    }
    if (isCalmSince(entryVm!, sinceMs) && isCalmSince(workerVm, sinceMs)) {
      const lateMs = Math.round(sinceMs + GONE_MS - leftMs);
      this.#late.push(
        `request ${id} reached ${workerVm.worker.id} ${lateMs} ms after its caller had left`,
      );
    }
  }

  /** Checks what can only be known at the end; returns the doubled requests. */
  finish(): number {
    const {broken, ledger} = this.#options;
    clearInterval(this.#lagTimer);
    if (this.#late.length > MAX_LATE) {
      broken(`${this.#late.length} requests came late: ${this.#late[0]}`);
    }
    const doubled = this.#unsafeIds.filter(id => ledger.runsOf(id).length > 1);
    doubled.forEach(id => broken(`request ${id} ran more than once`));
    return doubled.length;
  }

  #turn(): void {
    this.#noteLag();
    this.#lastTurnMs = performance.now();
  }

  #noteLag(): void {
    const nowMs = performance.now();
    if (nowMs - this.#lastTurnMs > MAX_LAG_MS) {
      this.#lagMs = nowMs;
    }
  }

  async #callAndLeave(vm: SoakVm): Promise<void> {
    const {random} = this.#options;
    const socket = net.connect(vm.outbound);
    socket.on('error', () => {});
    const ids: string[] = [];
    if (random.nextFloat() >= FRESH_SHARE) {
      ids.push(this.#write(socket, vm));
      await this.#waitForAnswer(socket);
    }
    ids.push(this.#write(socket, vm));
    socket.resume();
    await pause(MIN_STAY_MS + random.nextFloat() * (MAX_STAY_MS - MIN_STAY_MS));
    if (random.nextFloat() < RESET_SHARE) {
      socket.resetAndDestroy();
    } else {
      socket.destroy();
    }
    ids.forEach(id => this.#leftMs.set(id, performance.now()));
  }

  async #waitForAnswer(socket: net.Socket): Promise<void> {
    const isOver = new AbortController();
    await Promise.race([
      once(socket, 'data', {signal: isOver.signal}).catch(() => {}),
      once(socket, 'close', {signal: isOver.signal}).catch(() => {}),
      pause(MAX_WAIT_MS, undefined, {signal: isOver.signal}).catch(() => {}),
    ]);
    isOver.abort();
  }

  #write(socket: net.Socket, vm: SoakVm): string {
    const isUnsafe = this.#options.random.nextFloat() < UNSAFE_SHARE;
    const id = `${vm.index}-gone-${this.#sent++}`;
    if (isUnsafe) {
      this.#unsafeIds.push(id);
    }
    const head = [
      `${isUnsafe ? 'POST /buy' : 'GET /read'}/${id} HTTP/1.1`,
      `Host: ${SOAK_HOST}`,
      `${wireHeaders.requestId}: ${id}`,
      `${wireHeaders.deadlineMs}: ${DEADLINE_MS}`,
      ...(isUnsafe ? ['Content-Length: 5'] : []),
    ];
    socket.write(`${head.join('\r\n')}\r\n\r\n${isUnsafe ? 'order' : ''}`);
    return id;
  }
}
