import type {LocalLoad} from '@carobseam/calls.types';
import type {OperationClass} from '@carobseam/config.types';
import type {Metrics} from '@carobseam/core.metrics';
import type {Clock, Timer} from '@carobseam/core.types';
import type {AdmissionRefusal, AdmissionTicket} from './admission_ticket.js';
import {ServiceTimeEstimate} from './service_time_estimate.js';
import {SlotLimit, type Capacity} from './slot_limit.js';

export interface AdmissionControllerOptions {
  clock: Clock;
  metrics: Metrics;
}

/** Interactive calls that may start in a row while a deferrable call waits. */
const MAX_CONSECUTIVE_INTERACTIVE_STARTS = 7;
const RECHECK_INTERVAL_MS = 100;
/** Shortest `retry-after` of a refusal. */
const MIN_RETRY_AFTER_MS = 100;

/**
 * Admission control of the local worker. A call starts at once while the worker
 * has a free slot; else it waits in the bounded queue of its class or is
 * refused. Interactive calls start before deferrable ones, but one in 8 starts
 * is reserved for deferrable calls.
 */
export class AdmissionController {
  readonly #clock: Clock;
  readonly #metrics: Metrics;
  readonly #slotLimit: SlotLimit;
  readonly #queues: Record<OperationClass, Set<AdmissionTicket>> = {
    interactive: new Set(),
    deferrable: new Set(),
  };
  readonly #serviceTimes: Record<OperationClass, ServiceTimeEstimate> = {
    interactive: new ServiceTimeEstimate(),
    deferrable: new ServiceTimeEstimate(),
  };
  #running = 0;
  #consecutiveInteractiveStarts = 0;
  #isWorkerDown = false;
  #recheckTimer?: Timer;

  constructor(options: AdmissionControllerOptions) {
    this.#clock = options.clock;
    this.#metrics = options.metrics;
    this.#slotLimit = new SlotLimit(options.clock);
  }

  setCapacity(capacity: Capacity): void {
    this.#slotLimit.setCapacity(capacity);
    this.#dispatch();
  }

  /** Current load of the worker; `slots` is the current slot limit. */
  load(): LocalLoad {
    const {interactive, deferrable} = this.#queues;
    return {
      running: this.#running,
      queued: interactive.size + deferrable.size,
      slots: this.#slotLimit.currentSlots(),
    };
  }

  /**
   * Starts, queues or refuses a call. Unless the call is queued, `onStarted` or
   * `onRefused` is called before this method returns.
   */
  submit(ticket: AdmissionTicket): void {
    ticket.submittedMs = this.#clock.monotonicMs();
    if (this.#isWorkerDown && this.#running > 0) {
      this.#refuse(ticket, 'worker_down', 1000);
      return;
    }
    if (
      this.#running < this.#slotLimit.currentSlots() &&
      this.#queuedCount() === 0
    ) {
      this.#start(ticket);
      return;
    }
    this.#enqueue(ticket);
  }

  /**
   * Releases the slot or the queue place of a call that has ended or was
   * cancelled.
   *
   * @param completed whether its duration is a sample of the service time.
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
      this.#recordServiceTime(ticket);
    }
    this.#dispatch();
  }

  /** Lowers the slot limit, because the worker shed a call. */
  recordWorkerShed(): void {
    this.#slotLimit.lowerAfterShed(this.#running);
  }

  /**
   * Records that the worker accepts no connections. The queued calls are
   * refused, and from now on one call at a time is admitted as a probe.
   */
  markWorkerDown(): void {
    this.#isWorkerDown = true;
    for (const queue of Object.values(this.#queues)) {
      for (const ticket of queue) {
        this.#removeAndRefuse(ticket, 'worker_down', 1000);
      }
    }
  }

  /** Records that the worker responds; after an outage the ramp starts. */
  markWorkerUp(): void {
    if (this.#isWorkerDown) {
      this.#isWorkerDown = false;
      this.#slotLimit.startRamp();
    }
  }

  /** Refuses expired calls after a pause and starts calls if slots are free. */
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

  /** Cancels the timer. */
  close(): void {
    this.#recheckTimer?.cancel();
  }

  #queuedCount(): number {
    return this.#queues.interactive.size + this.#queues.deferrable.size;
  }

  #enqueue(ticket: AdmissionTicket): void {
    const {operationClass, queueLength, deadlineMs} = ticket.call;
    const queue = this.#queues[operationClass];
    const waitMs = this.#estimateWaitMs(operationClass);
    if (queue.size >= queueLength) {
      this.#refuse(ticket, 'queue_full', computeRetryAfterMs(waitMs));
      return;
    }
    const remainingMs = deadlineMs - ticket.submittedMs;
    if (
      waitMs + this.#serviceTimes[operationClass].upperBoundMs >
      remainingMs
    ) {
      this.#refuse(ticket, 'deadline_too_short', computeRetryAfterMs(waitMs));
      return;
    }
    ticket.state = 'queued';
    queue.add(ticket);
    ticket.timer = this.#clock.setTimer(remainingMs, () =>
      this.#removeAndRefuse(ticket, 'deadline_exceeded'),
    );
    this.#scheduleRecheck();
  }

  /** Estimates the time until a call that arrives now would get a slot. */
  #estimateWaitMs(operationClass: OperationClass): number {
    const {interactive, deferrable} = this.#queues;
    const interactiveServiceMs = this.#serviceTimes.interactive.meanMs;
    const deferrableServiceMs = this.#serviceTimes.deferrable.meanMs;
    const interactiveMs = (interactive.size + 1) * interactiveServiceMs;
    const deferrableMs = (deferrable.size + 1) * deferrableServiceMs;
    const slots = this.#slotLimit.currentSlots();
    if (operationClass === 'deferrable') {
      return (interactiveMs + deferrableMs) / slots;
    }
    const reservedStarts = Math.min(
      deferrable.size,
      interactive.size / MAX_CONSECUTIVE_INTERACTIVE_STARTS,
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
    while (this.#running < this.#slotLimit.currentSlots()) {
      const ticket = this.#dequeue();
      if (!ticket) {
        return;
      }
      this.#startOrRefuseLate(ticket);
    }
    this.#scheduleRecheck();
  }

  /** Starts a call, unless it would miss its deadline and waste the slot. */
  #startOrRefuseLate(ticket: AdmissionTicket): void {
    const {deadlineMs, operationClass} = ticket.call;
    const remainingMs = deadlineMs - this.#clock.monotonicMs();
    if (remainingMs <= this.#serviceTimes[operationClass].upperBoundMs) {
      this.#refuse(ticket, 'deadline_exceeded');
      return;
    }
    const waitedMs = this.#clock.monotonicMs() - ticket.submittedMs;
    this.#metrics.observe('carobseam_queue_seconds', waitedMs / 1000, {
      class: operationClass,
    });
    this.#start(ticket);
  }

  #dequeue(): AdmissionTicket | undefined {
    const {interactive, deferrable} = this.#queues;
    const isReservedStart =
      this.#consecutiveInteractiveStarts >= MAX_CONSECUTIVE_INTERACTIVE_STARTS;
    const takeDeferrable =
      deferrable.size > 0 && (isReservedStart || interactive.size === 0);
    const queue = takeDeferrable ? deferrable : interactive;
    const ticket = queue.values().next().value;
    if (!ticket) {
      return undefined;
    }
    queue.delete(ticket);
    ticket.timer?.cancel();
    this.#consecutiveInteractiveStarts =
      takeDeferrable || deferrable.size === 0
        ? 0
        : this.#consecutiveInteractiveStarts + 1;
    return ticket;
  }

  #recordServiceTime(ticket: AdmissionTicket): void {
    const {operationClass} = ticket.call;
    const durationMs = this.#clock.monotonicMs() - ticket.startedMs;
    this.#serviceTimes[operationClass].addSample(durationMs);
  }

  #removeAndRefuse(
    ticket: AdmissionTicket,
    reason: AdmissionRefusal,
    retryAfterMs?: number,
  ): void {
    this.#queues[ticket.call.operationClass].delete(ticket);
    this.#refuse(ticket, reason, retryAfterMs);
  }

  #refuse(
    ticket: AdmissionTicket,
    reason: AdmissionRefusal,
    retryAfterMs?: number,
  ): void {
    ticket.state = 'ended';
    ticket.timer?.cancel();
    ticket.call.onRefused(reason, retryAfterMs);
  }

  /** Dispatches again later, as the limit can grow without any call ending. */
  #scheduleRecheck(): void {
    if (this.#queuedCount() === 0 || !this.#slotLimit.isGrowing) {
      return;
    }
    this.#recheckTimer?.cancel();
    this.#recheckTimer = this.#clock.setTimer(RECHECK_INTERVAL_MS, () =>
      this.#dispatch(),
    );
  }
}

function computeRetryAfterMs(waitMs: number): number {
  return Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs));
}
