import type {RefusalReason} from '@carobseam/calls.types';
import type {OperationClass} from '@carobseam/config.types';
import type {Timer} from '@carobseam/core.types';

/** Why a call gets no slot. */
export type AdmissionRefusal = Extract<
  RefusalReason,
  'queue_full' | 'deadline_too_short' | 'deadline_exceeded' | 'worker_down'
>;

/** A call that asks for a slot of the worker. */
export interface AdmissionCall {
  readonly operationClass: OperationClass;
  /** Monotonic time by which the response has to be there, ms. */
  readonly deadlineMs: number;
  /** Calls of the same class that may wait. */
  readonly queueLength: number;
  /** The call holds a slot until its ticket is given back. */
  onStarted(): void;
  /** The call has left; its ticket needs no further action. */
  onRefused(reason: AdmissionRefusal, retryAfterMs?: number): void;
}

/** State of one call in the admission. */
export class AdmissionTicket {
  readonly call: AdmissionCall;
  state: 'new' | 'queued' | 'running' | 'ended' = 'new';
  submittedMs = 0;
  startedMs = 0;
  timer?: Timer;

  constructor(call: AdmissionCall) {
    this.call = call;
  }
}
