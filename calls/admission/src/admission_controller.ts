import type {LocalLoad} from '@carobseam/calls.types';
import type {OperationClass} from '@carobseam/config.types';
import type {Metrics} from '@carobseam/core.metrics';
import type {Clock, Timer} from '@carobseam/core.types';
import type {AdmissionRefusal, AdmissionTicket} from './admission_ticket.js';
import {ServiceTime} from './service_time.js';
import {SlotLimit, type Capacity} from './slot_limit.js';

/** Options of an `Admission`. */
export interface AdmissionControllerOptions {
  clock: Clock;
  metrics: Metrics;
}

/** Interactive starts after which a waiting deferrable call starts. */
const INTERACTIVE_STARTS_IN_TURN = 7;
const RECHECK_MS = 100;
/** Shortest time after which a refused call may be sent again, ms. */
const MIN_RETRY_AFTER_MS = 100;

/**
 * Slots and queue of the worker beside this daemon. Interactive calls start
 * before deferrable ones, but one in 8 starts is reserved for these.
 */
export class AdmissionController {
  readonly #clock: Clock;
  readonly #metrics: Metrics;
  readonly #limit: SlotLimit;
  readonly #queues: Record<OperationClass, Set<AdmissionTicket>> = {
    interactive: new Set(),
    deferrable: new Set(),
  };
  readonly #serviceTimes: Record<OperationClass, ServiceTime> = {
    interactive: new ServiceTime(),
    deferrable: new ServiceTime(),
  };
  #running = 0;
  #interactiveStarts = 0;
  #down = false;
  #recheckTimer?: Timer;

  constructor(options: AdmissionControllerOptions) {
    this.#clock = options.clock;
    this.#metrics = options.metrics;
    this.#limit = new SlotLimit(options.clock);
  }

  setCapacity(capacity: Capacity): void {
    this.#limit.setCapacity(capacity);
    this.#dispatch();
  }

  /** Load of the worker; `slots` are those that may be used now. */
  load(): LocalLoad {
    const {interactive, deferrable} = this.#queues;
    return {
      running: this.#running,
      queued: interactive.size + deferrable.size,
      slots: this.#limit.current(),
    };
  }

  /** Starts a call, queues it or refuses it, before it returns if it can. */
  submit(ticket: AdmissionTicket): void {
    ticket.submittedMs = this.#clock.monotonicMs();
    if (this.#down && this.#running > 0) {
      this.#refuse(ticket, 'worker_down', 1000);
      return;
    }
    if (this.#running < this.#limit.current() && this.#queuedCount() === 0) {
      this.#start(ticket);
      return;
    }
    this.#enqueue(ticket);
  }

  /**
   * Gives a ticket back: its call has ended or was cancelled.
   *
   * @param completed whether the worker responded, so that its time counts.
   */
  release(ticket: AdmissionTicket, completed: boolean): void {
    const {state} = ticket;
    ticket.state = 'ended';
    ticket.timer?.cancel();
    if (state === 'queued') {
      this.#queues[ticket.call.operationClass].delete(ticket);
    }
    if (state !== 'running') {
      return;
    }
    this.#running--;
    if (completed) {
      this.#learn(ticket);
    }
    this.#dispatch();
  }

  /** The worker refused a call by itself, so it has fewer slots than told. */
  recordWorkerShed(): void {
    this.#limit.lowerAfterShed(this.#running);
  }

  /** No new connection to the worker works; one call at a time tries it. */
  markWorkerDown(): void {
    this.#down = true;
    for (const queue of Object.values(this.#queues)) {
      for (const ticket of queue) {
        this.#removeAndRefuse(ticket, 'worker_down', 1000);
      }
    }
  }

  /** The worker responds; after an outage its slots open over the ramp. */
  markWorkerUp(): void {
    if (this.#down) {
      this.#down = false;
      this.#limit.startRamp();
    }
  }

  /** Refuses expired work after a pause and starts what can start. */
  recheck(): void {
    const nowMs = this.#clock.monotonicMs();
    for (const queue of Object.values(this.#queues)) {
      for (const ticket of queue) {
        if (ticket.call.deadlineMs <= nowMs) {
          this.#removeAndRefuse(ticket, 'deadline_exceeded');
        }
      }
    }
    this.#dispatch();
  }

  /** Releases the timer. */
  close(): void {
    this.#recheckTimer?.cancel();
  }

  #queuedCount(): number {
    return this.#queues.interactive.size + this.#queues.deferrable.size;
  }

  #enqueue(ticket: AdmissionTicket): void {
    const {operationClass, queueLength, deadlineMs} = ticket.call;
    const queue = this.#queues[operationClass];
    const waitMs = this.#expectedWaitMs(operationClass);
    if (queue.size >= queueLength) {
      this.#refuse(ticket, 'queue_full', retryAfterMs(waitMs));
      return;
    }
    const remainingMs = deadlineMs - ticket.submittedMs;
    if (waitMs + this.#serviceTimes[operationClass].highMs > remainingMs) {
      this.#refuse(ticket, 'deadline_too_short', retryAfterMs(waitMs));
      return;
    }
    ticket.state = 'queued';
    queue.add(ticket);
    ticket.timer = this.#clock.setTimer(remainingMs, () =>
      this.#removeAndRefuse(ticket, 'deadline_exceeded'),
    );
    this.#scheduleRecheck();
  }

  /** Time until a call that arrives now gets a slot, ms. */
  #expectedWaitMs(operationClass: OperationClass): number {
    const {interactive, deferrable} = this.#queues;
    const interactiveServiceMs = this.#serviceTimes.interactive.meanMs;
    const deferrableServiceMs = this.#serviceTimes.deferrable.meanMs;
    const interactiveMs = (interactive.size + 1) * interactiveServiceMs;
    const deferrableMs = (deferrable.size + 1) * deferrableServiceMs;
    const slots = this.#limit.current();
    if (operationClass === 'deferrable') {
      return (interactiveMs + deferrableMs) / slots;
    }
    const reservedStarts = Math.min(
      deferrable.size,
      interactive.size / INTERACTIVE_STARTS_IN_TURN,
    );
    const reservedMs = reservedStarts * deferrableServiceMs;
    return (interactiveMs + reservedMs) / slots;
  }

  #start(ticket: AdmissionTicket): void {
    ticket.state = 'running';
    ticket.startedMs = this.#clock.monotonicMs();
    this.#running++;
    ticket.call.onStarted();
  }

  #dispatch(): void {
    while (this.#running < this.#limit.current()) {
      const ticket = this.#takeNext();
      if (!ticket) {
        return;
      }
      this.#startInTime(ticket);
    }
    this.#scheduleRecheck();
  }

  /** A call that the worker cannot finish in time would waste its slot. */
  #startInTime(ticket: AdmissionTicket): void {
    const {deadlineMs, operationClass} = ticket.call;
    const remainingMs = deadlineMs - this.#clock.monotonicMs();
    if (remainingMs <= this.#serviceTimes[operationClass].highMs) {
      this.#refuse(ticket, 'deadline_exceeded');
      return;
    }
    const waitedMs = this.#clock.monotonicMs() - ticket.submittedMs;
    this.#metrics.observe('carobseam_queue_seconds', waitedMs / 1000, {
      class: operationClass,
    });
    this.#start(ticket);
  }

  #takeNext(): AdmissionTicket | undefined {
    const {interactive, deferrable} = this.#queues;
    const reserved = this.#interactiveStarts >= INTERACTIVE_STARTS_IN_TURN;
    const takeDeferrable =
      deferrable.size > 0 && (reserved || interactive.size === 0);
    const queue = takeDeferrable ? deferrable : interactive;
    const ticket = queue.values().next().value;
    if (!ticket) {
      return undefined;
    }
    queue.delete(ticket);
    ticket.timer?.cancel();
    this.#interactiveStarts =
      takeDeferrable || deferrable.size === 0 ? 0 : this.#interactiveStarts + 1;
    return ticket;
  }

  #learn(ticket: AdmissionTicket): void {
    const {operationClass} = ticket.call;
    const durationMs = this.#clock.monotonicMs() - ticket.startedMs;
    this.#serviceTimes[operationClass].learn(durationMs);
  }

  #removeAndRefuse(
    ticket: AdmissionTicket,
    reason: AdmissionRefusal,
    retryAfter?: number,
  ): void {
    this.#queues[ticket.call.operationClass].delete(ticket);
    this.#refuse(ticket, reason, retryAfter);
  }

  #refuse(
    ticket: AdmissionTicket,
    reason: AdmissionRefusal,
    retryAfter?: number,
  ): void {
    ticket.state = 'ended';
    ticket.timer?.cancel();
    ticket.call.onRefused(reason, retryAfter);
  }

  /** While the limit grows, no end of a call may be due that would dispatch. */
  #scheduleRecheck(): void {
    if (this.#queuedCount() === 0 || !this.#limit.isGrowing) {
      return;
    }
    this.#recheckTimer?.cancel();
    this.#recheckTimer = this.#clock.setTimer(RECHECK_MS, () =>
      this.#dispatch(),
    );
  }
}

function retryAfterMs(waitMs: number): number {
  return Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs));
}
