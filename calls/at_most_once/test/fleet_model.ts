import {SeededRandom} from '@carobseam/core.clock';
import type {DataCentreName} from '@carobseam/core.types';
import {
  formatIdempotencyKey,
  refusalReasonForKey,
  parseIdempotencyKey,
  type IdempotencyKey,
  type KeyTicket,
} from '@carobseam/calls.at_most_once';
import {refusalDefinitions, type RefusalReason} from '@carobseam/calls.types';
import {
  ModelDaemon,
  SERVICE,
  START_WALL_MS,
  type ModelSwitches,
} from './model_daemon.js';

const STEP_MS = 50;
const CALLS_MS = 60_000;
const END_MS = 150_000;
const MAX_ATTEMPTS = 5;
const CALLER_TIMEOUT_MS = 2000;

type Answer = 'done' | RefusalReason;
interface Operation {
  key: IdempotencyKey;
  /** Whether the caller marks its first attempt. */
  marks: boolean;
  attempt: number;
  executions: number;
  end?: 'done' | 'not-run' | 'outcome-unknown';
}
interface Attempt {
  operation: Operation;
  number: number;
  firstSend: boolean;
  /** Whether its sender wrote another copy and reads no answer to this one. */
  abandoned?: boolean;
}

/** Result of one simulated fleet. */
export interface ModelResult {
  operations: number;
  executed: number;
  doubled: number;
  falseNotRun: number;
  /** Answered as done without exactly one execution. */
  falseDone: number;
  unended: number;
}

/** Options of `runFleetModel`. */
export interface FleetModelOptions extends Partial<ModelSwitches> {
  seed: number;
  /** Probability of each fault in a second. */
  faultRate: number;
}

/** Simulates two data centres whose daemons, networks and clocks fail. */
export function runFleetModel(options: FleetModelOptions): ModelResult {
  return new FleetModel(options).run();
}

class FleetModel {
  readonly #random: SeededRandom;
  readonly #faultRate: number;
  readonly #fleets: ModelDaemon[][];
  readonly #operations: Operation[] = [];
  #events = new Map<number, (() => void)[]>();
  #nowMs = 0;

  constructor(options: FleetModelOptions) {
    this.#random = new SeededRandom(options.seed);
    this.#faultRate = options.faultRate;
    const switches = {
      delayedRestart: options.delayedRestart ?? true,
      pauseCheck: options.pauseCheck ?? true,
      goneCounts: options.goneCounts ?? true,
    };
    this.#fleets = ['ost-wien', 'ost-linz'].map((name, index) =>
      Array.from({length: index === 0 ? 5 : 3}, (_, vm) => {
        const driftMs = this.#drift();
        const dataCentre = name as DataCentreName;
        const vmName = `${name}-${vm}`;
        const random = this.#random;
        return new ModelDaemon(vmName, dataCentre, random, driftMs, switches);
      }),
    );
  }

  run(): ModelResult {
    this.#each(daemon => daemon.start(0, this.#peersOf(daemon)));
    for (; this.#nowMs < END_MS; this.#nowMs += STEP_MS) {
      const due = this.#events.get(this.#nowMs) ?? [];
      this.#events.delete(this.#nowMs);
      due.forEach(event => event());
      this.#each(daemon => this.#step(daemon));
      if (this.#nowMs < CALLS_MS) {
        this.#injectFaults();
        this.#startOperation();
      }
    }
    return this.#result();
  }

  #step(daemon: ModelDaemon): void {
    if (!daemon.isActive(this.#nowMs)) {
      daemon.clock.jump(STEP_MS);
      return;
    }
    // Requests in the sockets come before timers and datagrams.
    daemon.inbox.splice(0).forEach(handle => handle());
    daemon.clock.advance(STEP_MS);
    daemon.observe(this.#nowMs, this.#peersOf(daemon));
  }

  #injectFaults(): void {
    const perStep = (this.#faultRate * STEP_MS) / 1000;
    this.#each(daemon => this.#disturb(daemon, perStep));
    for (const fleet of this.#fleets) {
      if (this.#chance(perStep / 4)) {
        this.#partition(
          fleet,
          () => this.#below(2),
          1000 + this.#below(30_000),
        );
      }
      if (this.#chance(perStep / 4)) {
        this.#partitionDuringRestarts(fleet);
      }
    }
  }

  #disturb(daemon: ModelDaemon, perStep: number): void {
    const fault = this.#random.nextFloat() / perStep;
    if (!daemon.running) {
      return;
    }
    if (fault < 0.25) {
      this.#stop(daemon);
    } else if (fault < 0.5) {
      this.#pause(daemon, 1200 + this.#below(25_000));
    } else if (fault < 0.55) {
      daemon.blackboard.write('lifecycle', 'leaving');
      const stop = this.#ifSame(daemon, () => this.#stop(daemon));
      this.#after(3000, stop);
    } else if (fault < 0.65) {
      daemon.setDrift(this.#drift());
    } else if (fault < 0.8) {
      // Too short to be detected as a pause.
      this.#pause(daemon, this.#below(900));
    }
  }

  #pause(daemon: ModelDaemon, durationMs: number): void {
    const untilMs = this.#nowMs + durationMs;
    daemon.pausedUntilMs = Math.max(daemon.pausedUntilMs, untilMs);
  }

  #partition(
    fleet: ModelDaemon[],
    groupOf: (index: number) => number,
    durationMs: number,
  ): void {
    fleet.forEach((daemon, index) => (daemon.group = groupOf(index)));
    this.#after(durationMs, () => fleet.forEach(daemon => (daemon.group = 0)));
  }

  /** Processes that one side saw end come back on the other side. */
  #partitionDuringRestarts(fleet: ModelDaemon[]): void {
    fleet.slice(-2).forEach(daemon => this.#stop(daemon, 3000));
    this.#after(1500, () =>
      this.#partition(fleet, index => (index < 2 ? 1 : 0), 25_000),
    );
  }

  #stop(daemon: ModelDaemon, downMs = 200 + this.#below(15_000)): void {
    daemon.running = false;
    const restart = () => daemon.start(this.#nowMs, this.#peersOf(daemon));
    this.#after(downMs, this.#ifSame(daemon, restart));
    if (this.#chance(0.3)) {
      const drop = this.#ifSame(daemon, () => (daemon.dropped = true));
      this.#after(this.#below(downMs), drop);
    }
  }

  #startOperation(): void {
    if (!this.#chance(0.3)) {
      return;
    }
    const {dataCentre} = this.#pick(this.#fleets)[0]!;
    const issuedWallMs = START_WALL_MS + this.#nowMs + this.#drift();
    const random = `${this.#operations.length}`.padStart(8, 'k');
    const text = formatIdempotencyKey(dataCentre, issuedWallMs, random);
    const key = parseIdempotencyKey(text)!;
    const marks = this.#chance(0.7);
    const operation = {key, marks, attempt: 0, executions: 0};
    this.#operations.push(operation);
    this.#send(operation);
  }

  #send(operation: Operation): void {
    const number = ++operation.attempt;
    const firstSend = operation.marks && number === 1;
    const attempt: Attempt = {operation, number, firstSend};
    const entry = this.#pick(this.#fleets.flat());
    this.#transmit(entry, attempt, () => this.#enter(entry, attempt));
    if (this.#chance(0.05)) {
      const copy = copyOf(attempt);
      this.#transmit(entry, copy, () => this.#enter(entry, copy));
    }
    this.#after(CALLER_TIMEOUT_MS, () => {
      if (operation.attempt === number && !operation.end) {
        this.#sendAgain(operation);
      }
    });
  }

  #sendAgain(operation: Operation): void {
    // An answer to the attempt that was given up is not read any more.
    operation.attempt += 0.5;
    if (operation.attempt > MAX_ATTEMPTS) {
      operation.end = 'outcome-unknown';
      return;
    }
    this.#after(this.#below(12_000), () => {
      operation.attempt = Math.floor(operation.attempt);
      this.#send(operation);
    });
  }

  /** Delivers, loses or delays a request; a stopped daemon refuses it. */
  #transmit(to: ModelDaemon, attempt: Attempt, handle: () => void): void {
    if (this.#chance(0.05)) {
      return;
    }
    const delayMs = this.#chance(0.1) ? this.#below(8000) : 0;
    this.#after(delayMs, () => {
      if (to.running) {
        to.inbox.push(handle);
      } else {
        this.#answer(
          attempt,
          refusalReasonForKey('peer_unreachable', attempt.firstSend),
        );
      }
    });
  }

  #enter(entry: ModelDaemon, attempt: Attempt): void {
    const {key} = attempt.operation;
    const {firstSend} = attempt;
    if (entry.dataCentre !== key.dataCentre) {
      const fleet = this.#fleets.find(others => !others.includes(entry))!;
      const next = this.#pick(fleet);
      this.#transmit(next, attempt, () => this.#enter(next, attempt));
      return;
    }
    const decision = entry.parts.ownerChooser.choose(key, SERVICE, firstSend);
    if (decision.kind === 'refuse') {
      this.#answer(attempt, decision.reason);
      return;
    }
    const owner = this.#peersOf(entry).find(
      ({vmId}) => vmId === decision.vmId,
    )!;
    if (owner === entry) {
      this.#guard(owner, attempt);
    } else if (owner.group === entry.group) {
      this.#transmit(owner, attempt, () => this.#guard(owner, attempt));
      if (this.#chance(0.1)) {
        const copy = copyOf(attempt);
        this.#transmit(owner, copy, () => this.#guard(owner, copy));
      }
    }
  }

  #guard(owner: ModelDaemon, attempt: Attempt, waitedMs = 0): void {
    const {operation, firstSend} = attempt;
    const request = {key: operation.key, service: SERVICE, fingerprint: 'f'};
    const decision = owner.parts.keyGuard.decide({...request, firstSend});
    if (decision.kind === 'refuse') {
      this.#answer(attempt, decision.reason);
    } else if (decision.kind === 'replay') {
      this.#answer(attempt, 'done');
    } else if (decision.kind === 'run') {
      this.#execute(owner, attempt, decision.ticket);
    } else if (waitedMs < CALLER_TIMEOUT_MS) {
      const again = () => this.#guard(owner, attempt, waitedMs + 200);
      this.#afterIn(owner, 200, again);
    } else {
      this.#answer(attempt, 'still_running');
    }
  }

  #execute(owner: ModelDaemon, attempt: Attempt, ticket: KeyTicket): void {
    if (this.#chance(0.1)) {
      ticket.release();
      this.#answer(attempt, 'queue_full');
      return;
    }
    attempt.operation.executions++;
    const lost = this.#chance(0.1);
    this.#afterIn(owner, this.#below(1500), () => {
      if (lost) {
        ticket.markOutcomeUnknown();
      } else {
        ticket.complete({statusCode: 200, headers: {}});
      }
      this.#answer(attempt, lost ? 'worker_failed' : 'done');
    });
  }

  #answer(attempt: Attempt, answer: Answer): void {
    const {operation, number} = attempt;
    if (this.#chance(0.15)) {
      return;
    }
    this.#after(STEP_MS, () => {
      if (attempt.abandoned || operation.attempt !== number || operation.end) {
        return;
      }
      const kind = answer === 'done' ? answer : refusalDefinitions[answer].kind;
      if (kind === 'outcome-unknown') {
        this.#sendAgain(operation);
      } else {
        operation.end = kind;
      }
    });
  }

  #result(): ModelResult {
    const all = this.#operations;
    const count = (test: (operation: Operation) => boolean) =>
      all.filter(test).length;
    return {
      operations: all.length,
      executed: count(({executions}) => executions > 0),
      doubled: count(({executions}) => executions > 1),
      falseNotRun: count(
        ({end, executions}) => end === 'not-run' && executions > 0,
      ),
      falseDone: count(
        ({end, executions}) => end === 'done' && executions !== 1,
      ),
      unended: count(({end}) => !end),
    };
  }

  #after(delayMs: number, run: () => void): void {
    const dueMs =
      this.#nowMs + STEP_MS * Math.max(1, Math.ceil(delayMs / STEP_MS));
    const due = this.#events.get(dueMs) ?? [];
    this.#events.set(dueMs, due);
    due.push(run);
  }

  #afterIn(daemon: ModelDaemon, delayMs: number, run: () => void): void {
    this.#after(
      delayMs,
      this.#ifSame(daemon, () => daemon.inbox.push(run)),
    );
  }

  #ifSame(daemon: ModelDaemon, run: () => void): () => void {
    const {process} = daemon;
    return () => (daemon.process === process ? run() : undefined);
  }

  #peersOf(daemon: ModelDaemon): ModelDaemon[] {
    return this.#fleets.find(fleet => fleet.includes(daemon))!;
  }

  #each(visit: (daemon: ModelDaemon) => void): void {
    this.#fleets.flat().forEach(visit);
  }

  /** Deviation of a wall clock; two of them differ by at most 1 s. */
  #drift(): number {
    return this.#below(1001) - 500;
  }

  #below(bound: number): number {
    return this.#random.nextInt(bound);
  }

  #chance(probability: number): boolean {
    return this.#random.nextFloat() < probability;
  }

  #pick<T>(items: readonly T[]): T {
    return items[this.#below(items.length)]!;
  }
}

/** The only kind of duplicate over TCP: the sender gives up and sends again. */
function copyOf(attempt: Attempt): Attempt {
  attempt.abandoned = true;
  return {...attempt, firstSend: false, abandoned: false};
}
