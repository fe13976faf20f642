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

type AttemptResult = 'done' | RefusalReason;
interface Operation {
  key: IdempotencyKey;
  /** Whether the caller marks its first attempt as the first send. */
  marksFirstSend: boolean;
  attempt: number;
  executions: number;
  end?: 'done' | 'not-run' | 'outcome-unknown';
}
interface Attempt {
  operation: Operation;
  number: number;
  firstSend: boolean;
  /** Whether its sender sent another copy and ignores the response to this. */
  abandoned?: boolean;
}

/** Counts of operations in one simulation. */
export interface ModelResult {
  operations: number;
  executed: number;
  /** Executed more than once. */
  doubled: number;
  /** Refused as `not-run` although executed. */
  falseNotRun: number;
  /** Reported as done without exactly one execution. */
  falseDone: number;
  unfinished: number;
}

export interface FleetModelOptions extends Partial<ModelSwitches> {
  seed: number;
  /** Approximate probability of a fault per daemon and second. */
  faultRate: number;
}

/** Simulates two data centres with failing daemons, networks and clocks. */
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
      exitedDaemonsCount: options.exitedDaemonsCount ?? true,
    };
    this.#fleets = ['ost-wien', 'ost-linz'].map((name, index) =>
      Array.from({length: index === 0 ? 5 : 3}, (_, vm) => {
        const clockOffsetMs = this.#randomClockOffsetMs();
        const dataCentre = name as DataCentreName;
        const vmName = `${name}-${vm}`;
        const random = this.#random;
        return new ModelDaemon(
          vmName,
          dataCentre,
          random,
          clockOffsetMs,
          switches,
        );
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
    // After a pause, requests in the sockets are handled before timers and
    // datagrams.
    daemon.inbox.splice(0).forEach(handle => handle());
    daemon.clock.advance(STEP_MS);
    daemon.observe(this.#nowMs, this.#peersOf(daemon));
  }

  #injectFaults(): void {
    const faultProbability = (this.#faultRate * STEP_MS) / 1000;
    this.#each(daemon => this.#injectDaemonFault(daemon, faultProbability));
    for (const fleet of this.#fleets) {
      if (this.#chance(faultProbability / 4)) {
        this.#partition(
          fleet,
          () => this.#randomBelow(2),
          1000 + this.#randomBelow(30_000),
        );
      }
      if (this.#chance(faultProbability / 4)) {
        this.#partitionDuringRestarts(fleet);
      }
    }
  }

  #injectDaemonFault(daemon: ModelDaemon, faultProbability: number): void {
    const fault = this.#random.nextFloat() / faultProbability;
    if (!daemon.running) {
      return;
    }
    if (fault < 0.25) {
      this.#stop(daemon);
    } else if (fault < 0.5) {
      this.#pause(daemon, 1200 + this.#randomBelow(25_000));
    } else if (fault < 0.55) {
      daemon.blackboard.write('lifecycle', 'leaving');
      const stop = this.#ifSameProcess(daemon, () => this.#stop(daemon));
      this.#schedule(3000, stop);
    } else if (fault < 0.65) {
      daemon.setClockOffset(this.#randomClockOffsetMs());
    } else if (fault < 0.8) {
      // Too short to be detected as a pause.
      this.#pause(daemon, this.#randomBelow(900));
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
    this.#schedule(durationMs, () =>
      fleet.forEach(daemon => (daemon.group = 0)),
    );
  }

  /** Stops two daemons and partitions them from others before they restart. */
  #partitionDuringRestarts(fleet: ModelDaemon[]): void {
    fleet.slice(-2).forEach(daemon => this.#stop(daemon, 3000));
    this.#schedule(1500, () =>
      this.#partition(fleet, index => (index < 2 ? 1 : 0), 25_000),
    );
  }

  #stop(daemon: ModelDaemon, downMs = 200 + this.#randomBelow(15_000)): void {
    daemon.running = false;
    const restart = () => daemon.start(this.#nowMs, this.#peersOf(daemon));
    this.#schedule(downMs, this.#ifSameProcess(daemon, restart));
    if (this.#chance(0.3)) {
      const drop = this.#ifSameProcess(daemon, () => (daemon.dropped = true));
      this.#schedule(this.#randomBelow(downMs), drop);
    }
  }

  #startOperation(): void {
    if (!this.#chance(0.3)) {
      return;
    }
    const {dataCentre} = this.#pick(this.#fleets)[0]!;
    const issuedWallMs =
      START_WALL_MS + this.#nowMs + this.#randomClockOffsetMs();
    const random = `${this.#operations.length}`.padStart(8, 'k');
    const text = formatIdempotencyKey(dataCentre, issuedWallMs, random);
    const key = parseIdempotencyKey(text)!;
    const marksFirstSend = this.#chance(0.7);
    const operation = {key, marksFirstSend, attempt: 0, executions: 0};
    this.#operations.push(operation);
    this.#send(operation);
  }

  #send(operation: Operation): void {
    const number = ++operation.attempt;
    const firstSend = operation.marksFirstSend && number === 1;
    const attempt: Attempt = {operation, number, firstSend};
    const entry = this.#pick(this.#fleets.flat());
    this.#transmit(entry, attempt, () => this.#enterFleet(entry, attempt));
    if (this.#chance(0.05)) {
      const copy = copyOf(attempt);
      this.#transmit(entry, copy, () => this.#enterFleet(entry, copy));
    }
    this.#schedule(CALLER_TIMEOUT_MS, () => {
      if (operation.attempt === number && !operation.end) {
        this.#scheduleRetry(operation);
      }
    });
  }

  #scheduleRetry(operation: Operation): void {
    // The fraction makes responses to the previous attempt be ignored.
    operation.attempt += 0.5;
    if (operation.attempt > MAX_ATTEMPTS) {
      operation.end = 'outcome-unknown';
      return;
    }
    this.#schedule(this.#randomBelow(12_000), () => {
      operation.attempt = Math.floor(operation.attempt);
      this.#send(operation);
    });
  }

  /** Delivers, delays or drops a request; a stopped daemon refuses it. */
  #transmit(to: ModelDaemon, attempt: Attempt, handle: () => void): void {
    if (this.#chance(0.05)) {
      return;
    }
    const delayMs = this.#chance(0.1) ? this.#randomBelow(8000) : 0;
    this.#schedule(delayMs, () => {
      if (to.running) {
        to.inbox.push(handle);
      } else {
        this.#respond(
          attempt,
          refusalReasonForKey('peer_unreachable', attempt.firstSend),
        );
      }
    });
  }

  #enterFleet(entry: ModelDaemon, attempt: Attempt): void {
    const {key} = attempt.operation;
    const {firstSend} = attempt;
    if (entry.dataCentre !== key.dataCentre) {
      const fleet = this.#fleets.find(others => !others.includes(entry))!;
      const next = this.#pick(fleet);
      this.#transmit(next, attempt, () => this.#enterFleet(next, attempt));
      return;
    }
    const decision = entry.components.ownerChooser.choose(
      key,
      SERVICE,
      firstSend,
    );
    if (decision.kind === 'refuse') {
      this.#respond(attempt, decision.reason);
      return;
    }
    const owner = this.#peersOf(entry).find(
      ({vmId}) => vmId === decision.vmId,
    )!;
    if (owner === entry) {
      this.#decideAtOwner(owner, attempt);
    } else if (owner.group === entry.group) {
      this.#transmit(owner, attempt, () => this.#decideAtOwner(owner, attempt));
      if (this.#chance(0.1)) {
        const copy = copyOf(attempt);
        this.#transmit(owner, copy, () => this.#decideAtOwner(owner, copy));
      }
    }
  }

  #decideAtOwner(owner: ModelDaemon, attempt: Attempt, waitedMs = 0): void {
    const {operation, firstSend} = attempt;
    const request = {key: operation.key, service: SERVICE, fingerprint: 'f'};
    const decision = owner.components.keyGuard.decide({...request, firstSend});
    if (decision.kind === 'refuse') {
      this.#respond(attempt, decision.reason);
    } else if (decision.kind === 'replay') {
      this.#respond(attempt, 'done');
    } else if (decision.kind === 'run') {
      this.#execute(owner, attempt, decision.ticket);
    } else if (waitedMs < CALLER_TIMEOUT_MS) {
      const again = () => this.#decideAtOwner(owner, attempt, waitedMs + 200);
      this.#scheduleInProcess(owner, 200, again);
    } else {
      this.#respond(attempt, 'still_running');
    }
  }

  #execute(owner: ModelDaemon, attempt: Attempt, ticket: KeyTicket): void {
    if (this.#chance(0.1)) {
      ticket.release();
      this.#respond(attempt, 'queue_full');
      return;
    }
    attempt.operation.executions++;
    const lost = this.#chance(0.1);
    this.#scheduleInProcess(owner, this.#randomBelow(1500), () => {
      if (lost) {
        ticket.markOutcomeUnknown();
      } else {
        ticket.complete({statusCode: 200, headers: {}});
      }
      this.#respond(attempt, lost ? 'worker_failed' : 'done');
    });
  }

  #respond(attempt: Attempt, result: AttemptResult): void {
    const {operation, number} = attempt;
    if (this.#chance(0.15)) {
      return;
    }
    this.#schedule(STEP_MS, () => {
      if (attempt.abandoned || operation.attempt !== number || operation.end) {
        return;
      }
      const kind = result === 'done' ? result : refusalDefinitions[result].kind;
      if (kind === 'outcome-unknown') {
        this.#scheduleRetry(operation);
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
      unfinished: count(({end}) => !end),
    };
  }

  #schedule(delayMs: number, run: () => void): void {
    const dueMs =
      this.#nowMs + STEP_MS * Math.max(1, Math.ceil(delayMs / STEP_MS));
    const due = this.#events.get(dueMs) ?? [];
    this.#events.set(dueMs, due);
    due.push(run);
  }

  #scheduleInProcess(
    daemon: ModelDaemon,
    delayMs: number,
    run: () => void,
  ): void {
    this.#schedule(
      delayMs,
      this.#ifSameProcess(daemon, () => daemon.inbox.push(run)),
    );
  }

  #ifSameProcess(daemon: ModelDaemon, run: () => void): () => void {
    const {process} = daemon;
    return () => (daemon.process === process ? run() : undefined);
  }

  #peersOf(daemon: ModelDaemon): ModelDaemon[] {
    return this.#fleets.find(fleet => fleet.includes(daemon))!;
  }

  #each(visit: (daemon: ModelDaemon) => void): void {
    this.#fleets.flat().forEach(visit);
  }

  /** Offset of a wall clock; two clocks differ by at most 1 s. */
  #randomClockOffsetMs(): number {
    return this.#randomBelow(1001) - 500;
  }

  #randomBelow(bound: number): number {
    return this.#random.nextInt(bound);
  }

  #chance(probability: number): boolean {
    return this.#random.nextFloat() < probability;
  }

  #pick<T>(items: readonly T[]): T {
    return items[this.#randomBelow(items.length)]!;
  }
}

/**
 * Creates a duplicate of a request. Over TCP, duplicates only arise when a
 * sender gives up an attempt and sends the request again.
 */
function copyOf(attempt: Attempt): Attempt {
  attempt.abandoned = true;
  return {...attempt, firstSend: false, abandoned: false};
}
